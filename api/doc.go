// Package api implements the HTTP API for operators and job callers: the
// server's handler, a client, and the typed messages that both use.
package api
