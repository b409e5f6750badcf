// Package standin holds small stand-ins for the platform and for backend
// servers. Tests switch faults on, and check the scheduler by what the
// stand-ins recorded rather than by its own state.
package standin
