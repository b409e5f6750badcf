// Package config holds what starts a host: its identity, its addresses, the
// platform's addresses and its credentials, from a JSON file, the environment
// and flags, each overriding the one before.
package config
