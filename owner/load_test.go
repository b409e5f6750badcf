package owner

import (
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/workload"
)

// Guards against a change of owner that resets the age of inherited jobs: a job
// that can no longer meet its target time would be ranked with those that can.
func TestTakeoverForgetsAge(t *testing.T) {
	const now, nowMS = 5 * time.Second, int64(1_000_000)
	tests := map[string]struct {
		acceptedMS int64
		want       time.Duration // on the owner's clock
	}{
		"accepted 3 s ago":                             {acceptedMS: nowMS - 3_000, want: 2 * time.Second},
		"accepted before the host started":             {acceptedMS: nowMS - 20_000, want: -15 * time.Second},
		"accepted by a host whose clock is ahead":      {acceptedMS: nowMS + 2_000, want: now},
		"accepted by a host whose clock is far behind": {acceptedMS: 0, want: now - maxInheritedAge},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := arrivalTime(&workload.Job{AcceptedMS: tt.acceptedMS}, now, nowMS); got != tt.want {
				t.Errorf("arrival time %v, want %v", got, tt.want)
			}
		})
	}
}
