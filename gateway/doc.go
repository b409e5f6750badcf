// Package gateway serves callers' requests: it admits, routes, forwards and answers them.
package gateway
