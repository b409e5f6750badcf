// Package config loads the configuration of an entry host: its identity, its
// addresses, the platform's addresses and its credentials. It reads a JSON file,
// environment variables and flags; each overrides the one before.
package config
