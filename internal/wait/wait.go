// Package wait provides a sleep that ends with a context.
package wait

import (
	"context"
	"time"
)

// For waits for d or until ctx ends, and returns ctx's error in the latter case.
// It does not wait if d <= 0, and then returns ctx's error if ctx has ended.
func For(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
