package store_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/store"
)

// TestBudgetLimitsWrites checks that writes beyond the burst are limited to the
// rate of the share, also after SetBudget has reduced it.
func TestBudgetLimitsWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := store.Budget{ReadsPerSecond: 100, WritesPerSecond: 100, Burst: 5}
		m := store.NewMetered(standin.NewStore(), all.Share(10))
		elapsed := func(writes int) time.Duration {
			began := time.Now()
			for i := range writes {
				if _, err := m.CompareAndSwap(t.Context(), "k"+string(rune('a'+i))+began.String(), 0, nil, 0); err != nil {
					t.Fatal(err)
				}
			}
			return time.Since(began)
		}
		if took := elapsed(5 + 20); took != 2*time.Second {
			t.Errorf("20 writes beyond the burst took %v at 10 per second, want 2 s", took)
		}
		m.SetBudget(all.Share(50))
		if took := elapsed(4); took != 2*time.Second {
			t.Errorf("4 writes took %v at 2 per second, want 2 s", took)
		}
	})
}
