package owner

import (
	"testing"
	"time"
)

// In a rolling restart the next owner is a host that has been restarted, unless
// it is much smaller; among others the larger host stands first.
func TestWhoStandsFirst(t *testing.T) {
	type host struct {
		cores float64
		age   time.Duration
	}
	tests := map[string]struct{ first, second host }{
		"larger":                           {host{0.8, time.Hour}, host{0.16, time.Hour}},
		"restarted":                        {host{0.16, 2 * time.Second}, host{0.16, time.Hour}},
		"larger of two restarted":          {host{0.4, 2 * time.Second}, host{0.16, time.Second}},
		"restarted but a seventh as large": {host{0.8, time.Hour}, host{0.11, time.Second}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			first, second := standDelay(tt.first.cores, tt.first.age), standDelay(tt.second.cores, tt.second.age)
			if first >= second {
				t.Errorf("%+v stands after %v, %+v after %v", tt.first, first, tt.second, second)
			}
		})
	}
}
