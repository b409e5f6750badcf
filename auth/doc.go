// Package auth checks bearer tokens and the roles they carry.
package auth
