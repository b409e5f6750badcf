// Package command is the command line of operators and job callers.
package command
