// Package harness3 starts the project's daemon as separate processes on loopback addresses, with
// stand-ins for workers and links between, for the cases of the third review.
package harness3

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file in which a case writes what was sent, answered and run.
type Record struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
}

// NewRecord creates the file at path.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path) //nolint:gosec // named by the script
	if err != nil {
		return nil, err
	}
	return &Record{began: time.Now(), file: file}, nil
}

// Since returns the time since the case began.
func (r *Record) Since() time.Duration { return time.Since(r.began) }

// Line writes a line with the time since the case began.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", r.Since().Seconds(), fmt.Sprintf(format, args...))
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }
