package settings

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestGuaranteesAt(t *testing.T) {
	g := Guarantees{"05:00-17:00": 70, "22:30-03:00": 20, "17:00-18:00": 50}
	at := func(clock string) time.Time {
		when, err := time.Parse("15:04:05 -0700", clock)
		if err != nil {
			t.Fatal(err)
		}
		return when
	}
	tests := map[string]struct {
		at              string
		want            float64
		lowest, highest float64 // share within the next minute
	}{
		"start of a window":        {"05:00:00 +0000", 70, 70, 70},
		"just before a window":     {"04:59:59 +0000", 0, 0, 70},
		"end of a window":          {"17:59:59 +0000", 50, 0, 50},
		"one window after another": {"16:59:30 +0000", 70, 50, 70},
		"over midnight, before":    {"23:59:30 +0000", 20, 20, 20},
		"over midnight, after":     {"02:58:00 +0000", 20, 20, 20},
		"outside all windows":      {"20:00:00 +0000", 0, 0, 0},
		"another time zone":        {"08:30:00 +0300", 70, 70, 70},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			when := at(tt.at)
			lowest, highest := g.Range(when, time.Minute)
			if got := g.At(when); got != tt.want || lowest != tt.lowest || highest != tt.highest {
				t.Errorf("got %v, %v to %v in the next minute; want %v, %v to %v", got, lowest, highest, tt.want, tt.lowest, tt.highest)
			}
		})
	}
}

// Range must agree with At at every second of the span.
func TestGuaranteesRange(t *testing.T) {
	g := Guarantees{"05:00-17:00": 70, "22:30-03:00": 20, "17:00-18:00": 50}
	rapid.Check(t, func(t *rapid.T) {
		from := time.Unix(rapid.Int64Range(0, 2*86400).Draw(t, "from"), 0)
		span := time.Duration(rapid.Int64Range(0, 3600).Draw(t, "span")) * time.Second
		lowest, highest := g.Range(from, span)
		wantLowest, wantHighest := g.At(from), g.At(from)
		for s := time.Duration(0); s <= span; s += time.Second {
			wantLowest, wantHighest = min(wantLowest, g.At(from.Add(s))), max(wantHighest, g.At(from.Add(s)))
		}
		if lowest != wantLowest || highest != wantHighest {
			t.Errorf("got %v to %v, want %v to %v", lowest, highest, wantLowest, wantHighest)
		}
	})
}
