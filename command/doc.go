// Package command implements the command line for operators and job callers.
package command
