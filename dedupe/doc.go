// Package dedupe recognises a non-idempotent request that a caller sends again.
package dedupe
