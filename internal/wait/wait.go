// Package wait pauses a goroutine.
package wait

import (
	"context"
	"time"
)

// For waits for d or until ctx ends, and returns ctx's error if it has ended
// by then. It does not wait if d is not above 0.
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
