package owner

import (
	"testing"
	"time"
)

// In a rolling restart a recently restarted host claims ownership first, unless
// it is much smaller; otherwise the larger host claims first.
func TestClaimDelayOrder(t *testing.T) {
	type host struct {
		cores float64
		age   time.Duration
	}
	tests := map[string]struct{ first, second host }{
		"larger":                  {host{0.8, time.Hour}, host{0.16, time.Hour}},
		"restarted":               {host{0.16, 2 * time.Second}, host{0.16, time.Hour}},
		"larger of two restarted": {host{0.4, 2 * time.Second}, host{0.16, time.Second}},
		"larger before restarted but a seventh as large": {host{0.8, time.Hour}, host{0.11, time.Second}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			first, second := baseClaimDelay(tt.first.cores, tt.first.age), baseClaimDelay(tt.second.cores, tt.second.age)
			if first >= second {
				t.Errorf("%+v claims after %v, %+v after %v; want the first to claim earlier", tt.first, first, tt.second, second)
			}
		})
	}
}
