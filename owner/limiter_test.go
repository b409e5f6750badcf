package owner

import (
	"math"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/dispatch"
	"github.com/fuchsiahill/fuchsiahill/platform"
)

// Guards against starts that take the whole link or the descriptors of a host, and
// against ones that are held back where there is room.
func TestOrdersExceedLinkOrDescriptors(t *testing.T) {
	const start = 2400 // bytes of a usual start
	tests := map[string]struct {
		linkMbps    float64
		descriptors int
		inFlight    inFlight
		spent       int // bytes within the last moment
		minStarts   int // usual starts that must have room
		maxStarts   int // usual starts that may have room, before the last one
		interrupt   bool
	}{
		"no limits":                           {inFlight: inFlight{starts: 5000, others: 5000, startBytes: 50 << 20}, spent: 50 << 20, minStarts: 1000, maxStarts: math.MaxInt, interrupt: true},
		"idle host with a large link":         {linkMbps: 200, descriptors: 8192, minStarts: 64, maxStarts: 1000, interrupt: true},
		"idle host with a small link":         {linkMbps: 10, descriptors: 4100, minStarts: 30, maxStarts: 52, interrupt: true},
		"bucket is empty":                     {linkMbps: 10, descriptors: 4100, spent: 125_000, interrupt: true},
		"answers are missing":                 {linkMbps: 10, descriptors: 4100, inFlight: inFlight{starts: 200, startBytes: 200 * start}, interrupt: true},
		"connections of starts are used up":   {linkMbps: 200, descriptors: 4100, inFlight: inFlight{starts: 600, startBytes: 600 * start}, interrupt: true},
		"connections of others are used up":   {linkMbps: 200, descriptors: 4100, inFlight: inFlight{others: 600}, minStarts: 64, maxStarts: 1000},
		"others wait for connections":         {linkMbps: 200, descriptors: 4100, inFlight: inFlight{others: 600, queuedOthers: 500}, minStarts: 64, maxStarts: 1000, interrupt: true},
		"fewer descriptors than are reserved": {linkMbps: 200, descriptors: 100, minStarts: 1, maxStarts: 1, interrupt: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := orderLimiter{limits: limitsOf(&platform.Settings{LinkMbps: tt.linkMbps, Descriptors: tt.descriptors})}
			l.spend(dispatch.Order{Kind: dispatch.OrderStop}, time.Second)
			l.spent = float64(tt.spent)
			room := l.room(&tt.inFlight, time.Second)
			starts := max(0, min(room.Starts, room.Bytes/start))
			if starts < tt.minStarts || starts > tt.maxStarts {
				t.Errorf("room for %d starts (%+v), want %d to %d", starts, room, tt.minStarts, tt.maxStarts)
			}
			if got := l.mayInterrupt(&tt.inFlight); got != tt.interrupt {
				t.Errorf("a stop may be sent: %t, want %t", got, tt.interrupt)
			}
		})
	}
}

// Starts must flow as fast as the link bears them, and no faster, whatever the interval
// of the plans.
func TestStartRateBelowLinkRate(t *testing.T) {
	const linkMbps, seconds = 10, 10
	for _, interval := range []time.Duration{minPlanInterval, minPlanInterval + heldBackPlanInterval} {
		l, f := orderLimiter{limits: limitsOf(&platform.Settings{LinkMbps: linkMbps, Descriptors: 4100})}, newInFlight()
		o := dispatch.Order{Kind: dispatch.OrderStart, Payload: string(make([]byte, 2000))}
		starts := 0
		for now := time.Duration(0); now < seconds*time.Second; now += interval {
			for room := l.room(f, now); room.Starts > 0 && room.Bytes > 0; room.Bytes -= o.Size() {
				l.spend(o, now)
				starts++
			}
		}
		borne := seconds * linkMbps * 1e6 / bitsPerByte / float64(o.Size())
		if share := float64(starts) / borne; share < startLinkShare-0.05 || share > startLinkShare+0.05 {
			t.Errorf("with plans each %v: starts use %.2f of the link, want %.2f", interval, share, startLinkShare)
		}
	}
}
