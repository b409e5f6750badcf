// Package oplog writes structured lines without ever blocking a decision: a
// line is put into a bounded buffer, which one goroutine writes out. Each kind
// of line has a rate; what is left out is counted and told.
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
	// linesPerSecond and burst bound each kind of line. Source: a line costs
	// about 5 µs; five kinds at this rate take 0.3% of a core.
	linesPerSecond = 120
	burst          = 400
	// bufferBytes bounds what waits to be written.
	bufferBytes = 256 << 10
	// flushInterval is how long a line may wait.
	flushInterval = 100 * time.Millisecond
	// toldInterval is how often the count of left out lines is told.
	toldInterval = time.Second
)

// Logger is a bounded log. The first keyval pair of each line is "event" and
// its kind. It is safe for concurrent use.
type Logger struct {
	w        io.Writer
	mu       sync.Mutex
	buffer   bytes.Buffer
	kinds    map[string]*kind
	encoder  log.Logger
	lastTold time.Time
}

type kind struct {
	limiter *rate.Limiter
	leftOut int
}

// New returns a logger that writes to w; Serve must run.
func New(w io.Writer, keyvals ...any) *Logger {
	l := &Logger{w: w, kinds: make(map[string]*kind)}
	l.encoder = log.With(log.NewLogfmtLogger(&l.buffer), append([]any{"ts", log.DefaultTimestampUTC}, keyvals...)...)
	return l
}

// Event writes a line of a kind, unless its rate or the buffer is used up.
func (l *Logger) Event(name string, keyvals ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k, ok := l.kinds[name]
	if !ok {
		k = &kind{limiter: rate.NewLimiter(linesPerSecond, burst)}
		l.kinds[name] = k
	}
	if l.buffer.Len() > bufferBytes || !k.limiter.Allow() {
		k.leftOut++
		return
	}
	l.write(name, keyvals)
}

func (l *Logger) write(name string, keyvals []any) {
	if err := l.encoder.Log(append([]any{"event", name}, keyvals...)...); err != nil {
		l.buffer.WriteString("event=log_failed kind=" + name + "\n")
	}
}

// Log implements log.Logger for parts that log through that interface.
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

// Serve writes out the buffer until ctx ends, and then once more.
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
	if now := time.Now(); now.Sub(l.lastTold) >= toldInterval {
		l.lastTold = now
		l.tellLeftOut()
	}
	out := slices.Clone(l.buffer.Bytes())
	l.buffer.Reset()
	l.mu.Unlock()
	if len(out) > 0 {
		_, _ = l.w.Write(out) // a log that can't be written can't be reported either
	}
}

func (l *Logger) tellLeftOut() {
	for name, k := range l.kinds {
		if k.leftOut > 0 {
			l.write("lines_left_out", []any{"kind", name, "count", k.leftOut})
			k.leftOut = 0
		}
	}
}
