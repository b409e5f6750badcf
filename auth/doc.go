// Package auth authenticates callers by bearer token and checks what their roles
// permit.
package auth
