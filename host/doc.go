// Package host wires the parts of an entry host into a supervisor tree.
package host
