// Package oplog writes structured log lines without blocking the caller: lines go
// into a bounded buffer that one goroutine writes out. Each kind of line is rate
// limited; dropped lines are counted and the count is logged.
package oplog

import (
	"bytes"
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/time/rate"
)

const (
	// linesPerSecond and burst limit each kind of line. A line costs about 5 µs;
	// five kinds at this rate take 0.3% of a core.
	linesPerSecond = 120
	burst          = 400
	// bufferBytes limits the bytes that wait to be written.
	bufferBytes = 256 << 10
	// flushInterval is the maximum time that a line waits to be written.
	flushInterval = 100 * time.Millisecond
	// atomicWriteBytes is the longest write to a pipe that reaches the reader in one
	// piece. Lines of several processes that share a reader are mixed in between.
	atomicWriteBytes = 4096
	// dropReportInterval is the minimum time between reports of dropped lines.
	dropReportInterval = time.Second
)

// Logger is a log with a bounded buffer. Each line holds the pair "event" and its
// kind, before the line's own keyvals. It is safe for concurrent use.
type Logger struct {
	w              io.Writer
	mu             sync.Mutex
	buffer         bytes.Buffer
	kinds          map[string]*kind
	encoder        log.Logger
	lastDropReport time.Time
}

type kind struct {
	limiter *rate.Limiter
	dropped int
}

// New returns a Logger that writes to w and adds keyvals to each line. Serve must
// run for lines to be written.
func New(w io.Writer, keyvals ...any) *Logger {
	l := &Logger{w: w, kinds: make(map[string]*kind)}
	l.encoder = log.With(log.NewLogfmtLogger(&l.buffer), append([]any{"ts", log.DefaultTimestampUTC}, keyvals...)...)
	return l
}

// Event logs a line of kind name. The line is dropped if its rate limit is
// exceeded or the buffer is full.
func (l *Logger) Event(name string, keyvals ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k, ok := l.kinds[name]
	if !ok {
		k = &kind{limiter: rate.NewLimiter(linesPerSecond, burst)}
		l.kinds[name] = k
	}
	if l.buffer.Len() > bufferBytes || !k.limiter.Allow() {
		k.dropped++
		return
	}
	l.write(name, keyvals)
}

func (l *Logger) write(name string, keyvals []any) {
	if err := l.encoder.Log(append([]any{"event", name}, keyvals...)...); err != nil {
		l.buffer.WriteString("event=log_failed kind=" + name + "\n")
	}
}

// Log implements log.Logger. A line that begins with the pair "event" is of that
// kind, any other of kind "log". It always returns nil.
func (l *Logger) Log(keyvals ...any) error {
	name := "log"
	if len(keyvals) > 1 && keyvals[0] == "event" {
		if text, ok := keyvals[1].(string); ok {
			name, keyvals = text, keyvals[2:]
		}
	}
	l.Event(name, keyvals...)
	return nil
}

// Serve writes out the buffer periodically until ctx ends, and once more then. It
// returns ctx's error.
func (l *Logger) Serve(ctx context.Context) error {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			l.Flush()
			return ctx.Err()
		case <-ticker.C:
			l.Flush()
		}
	}
}

// Flush writes out the buffer.
func (l *Logger) Flush() {
	l.mu.Lock()
	if now := time.Now(); now.Sub(l.lastDropReport) >= dropReportInterval {
		l.lastDropReport = now
		l.reportDropped()
	}
	out := slices.Clone(l.buffer.Bytes())
	l.buffer.Reset()
	l.mu.Unlock()
	for len(out) > 0 {
		n := wholeLines(out)
		_, _ = l.w.Write(out[:n]) // there is nowhere to report a log that can't be written
		out = out[n:]
	}
}

// wholeLines returns the length of the first lines of out that fit into one atomic
// write, at least one line.
func wholeLines(out []byte) int {
	if end := bytes.LastIndexByte(out[:min(len(out), atomicWriteBytes)], '\n'); end >= 0 {
		return end + 1
	}
	if end := bytes.IndexByte(out, '\n'); end >= 0 {
		return end + 1
	}
	return len(out)
}

func (l *Logger) reportDropped() {
	for name, k := range l.kinds {
		if k.dropped > 0 {
			l.write("lines_left_out", []any{"kind", name, "count", k.dropped})
			k.dropped = 0
		}
	}
}
