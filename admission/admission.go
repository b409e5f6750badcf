// Package admission decides which connections of callers a host gives up when it
// is short of memory or of descriptors. It answers crowds of clients that hold what
// they don't use: bodies that stop short, headers without an end, silent
// connections. It does no I/O.
package admission

import (
	"iter"
	"time"
)

// Phase is what a connection is doing.
type Phase int32

// Phases.
const (
	PhaseNew     Phase = iota // nothing received yet
	PhaseHeader               // receiving a header
	PhaseBody                 // receiving a body
	PhaseServing              // a whole request is being served
	PhaseAnswer               // the answer is being written
	PhaseIdle                 // between requests
	PhaseShed                 // given up
)

func (p Phase) String() string {
	return [...]string{"new", "header", "body", "serving", "answer", "idle", "shed"}[p]
}

// Connection is the state of a connection. Times are on one monotonic clock.
type Connection struct {
	Phase    Phase
	Held     int64         // bytes of memory
	Received int64         // bytes of the header or body so far
	Since    time.Duration // start of the phase
	Progress time.Duration // when bytes last moved
}

const (
	// stallTime is the time without progress after which a connection is stalled. A
	// lost packet is sent again sooner.
	stallTime = time.Second
	// answerStallTime is the same for an answer. A single one fits in the buffers of
	// the kernel and takes no time to write.
	answerStallTime = 250 * time.Millisecond
	// minAge keeps the rate of a transfer that has just begun finite.
	minAge = 50 * time.Millisecond
)

// rank orders connections by what they give; lower ranks go first.
type rank int

const (
	rankStalled rank = iota // without a whole request, and without progress
	rankIdle
	rankMoving
	rankUnread // an answer that is not read
	rankKept
)

// score is a connection's place in the order of shedding. Within a rank the lowest
// worth goes first.
type score struct {
	rank  rank
	worth float64
}

func (s score) less(o score) bool {
	return s.rank < o.rank || s.rank == o.rank && s.worth < o.worth
}

// WeakestHolder returns the connection that gives the least for the bytes that it
// holds, and false if none can be shed. The host is short of memory.
func WeakestHolder[K any](now time.Duration, connections iter.Seq2[K, Connection]) (K, bool) {
	return weakest(connections, func(c Connection) score {
		if c.Held == 0 || c.Phase != PhaseHeader && c.Phase != PhaseBody {
			return score{rank: rankKept}
		}
		if quiet := now - c.Progress; quiet >= stallTime {
			return score{rankStalled, -quiet.Seconds()}
		}
		return score{rankMoving, c.rate(now) / float64(c.Held)}
	})
}

// WeakestConnection returns the connection whose descriptor gives the least, and
// false if none can be shed. The host is short of descriptors.
func WeakestConnection[K any](now time.Duration, connections iter.Seq2[K, Connection]) (K, bool) {
	return weakest(connections, func(c Connection) score {
		quiet := now - c.Progress
		switch c.Phase {
		case PhaseNew, PhaseHeader: // an ordinary header comes in one piece
			return score{rankStalled, -quiet.Seconds()}
		case PhaseBody:
			if quiet >= stallTime {
				return score{rankStalled, -quiet.Seconds()}
			}
			return score{rankMoving, c.rate(now)}
		case PhaseIdle:
			return score{rankIdle, -quiet.Seconds()}
		case PhaseAnswer:
			if quiet >= answerStallTime {
				return score{rankUnread, -quiet.Seconds()}
			}
		case PhaseServing, PhaseShed:
		}
		return score{rank: rankKept}
	})
}

// rate is the average rate of the phase, in bytes per second.
func (c Connection) rate(now time.Duration) float64 {
	return float64(c.Received) / max(now-c.Since, minAge).Seconds()
}

func weakest[K any](connections iter.Seq2[K, Connection], rate func(Connection) score) (weakest K, found bool) {
	least := score{rank: rankKept}
	for key, c := range connections {
		if s := rate(c); s.rank != rankKept && (!found || s.less(least)) {
			weakest, least, found = key, s, true
		}
	}
	return weakest, found
}
