package owner

import (
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/workload"
)

// An inherited job is as old as it is, not as its owner: one past rescue would
// stand among those that can still be in time.
func TestTakeoverForgetsAge(t *testing.T) {
	const now, nowMS = 5 * time.Second, int64(1_000_000)
	tests := map[string]struct {
		acceptedMS int64
		want       time.Duration // on the owner's clock
	}{
		"accepted 3 s ago":                  {acceptedMS: nowMS - 3_000, want: 2 * time.Second},
		"accepted before the host started":  {acceptedMS: nowMS - 20_000, want: -15 * time.Second},
		"by a host whose clock is ahead":    {acceptedMS: nowMS + 2_000, want: now},
		"by a host whose clock is far back": {acceptedMS: 0, want: now - ageMost},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := arrivalOf(&workload.Job{AcceptedMS: tt.acceptedMS}, now, nowMS); got != tt.want {
				t.Errorf("arrived at %v, want %v", got, tt.want)
			}
		})
	}
}
