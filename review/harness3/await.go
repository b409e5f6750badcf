package harness3

import (
	"fmt"
	"time"
)

// NotInTimeError reports what did not come about in time.
type NotInTimeError struct{ What string }

func (e *NotInTimeError) Error() string { return fmt.Sprintf("not in time: %s", e.What) }

const awaitInterval = 50 * time.Millisecond

// Await waits until a condition holds, for a time at most.
func Await(limit time.Duration, what string, holds func() bool) error {
	for deadline := time.Now().Add(limit); ; time.Sleep(awaitInterval) {
		if holds() {
			return nil
		}
		if time.Now().After(deadline) {
			return &NotInTimeError{what}
		}
	}
}
