// Package backend exchanges HTTP/1.1 requests with backend servers over pooled connections.
package backend
