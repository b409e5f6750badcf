// Package api is the HTTP interface for operators and job callers, with its typed messages.
package api
