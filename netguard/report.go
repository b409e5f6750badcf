package netguard

import (
	"sync"
	"time"
)

// reportInterval is the least time between two log lines of the same entrance and reason.
const reportInterval = time.Second

// Reporter counts the connections that were given up and logs some of them.
type Reporter struct {
	count func(name string)
	log   func(keyvals ...any)

	mu     sync.Mutex
	recent map[string]recentRefusals // by entrance and reason
}

// recentRefusals are those of one entrance and reason.
type recentRefusals struct {
	logged time.Time // when the last line was written
	more   int       // since then
}

// NewReporter returns a reporter that calls count for each refusal, and log for at most one of an
// entrance and reason in reportInterval, from any goroutine.
func NewReporter(count func(name string), log func(keyvals ...any)) *Reporter {
	return &Reporter{count: count, log: log, recent: make(map[string]recentRefusals)}
}

// Entrance returns a function that reports the refusals of one entrance.
func (r *Reporter) Entrance(entrance string) func(Refusal) {
	return func(x Refusal) { r.record(entrance, x) }
}

func (r *Reporter) record(entrance string, x Refusal) {
	name := entrance + "_shed_" + string(x.Reason)
	r.count(name)
	r.mu.Lock()
	defer r.mu.Unlock()
	last, now := r.recent[name], time.Now()
	if now.Sub(last.logged) < reportInterval {
		last.more++
		r.recent[name] = last
		return
	}
	r.recent[name] = recentRefusals{logged: now}
	r.log("entrance", entrance, "reason", x.Reason, "address", x.Address, "phase", x.Phase, "held", x.Held, "received", x.Received, "more", last.more)
}
