package dedupe_test

import (
	"errors"
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"github.com/fuchsiahill/fuchsiahill/dedupe"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// newID returns a UUIDv7 created at the given time.
func newID(at time.Time, n byte) uuid.UUID {
	id := uuid.UUID{}
	ms := at.UnixMilli()
	for i := range 6 {
		id[5-i] = byte(ms >> (8 * i))
	}
	id[6] = 0x70
	id[8] = 0x80
	id[15] = n
	return id
}

// outcome returns "accepted", "duplicate", "unavailable" or the reason why the ID
// can't be verified.
func outcome(err error) string {
	var duplicate *dedupe.DuplicateError
	var unverifiable *dedupe.UnverifiableError
	var home *dedupe.HomeUnavailableError
	switch {
	case err == nil:
		return "accepted"
	case errors.As(err, &duplicate):
		return "duplicate"
	case errors.As(err, &unverifiable):
		return string(unverifiable.Reason)
	case errors.As(err, &home):
		return "unavailable"
	}
	return err.Error()
}

func TestHistory(t *testing.T) {
	m := dedupe.DefaultMargins
	later := epoch.Add(time.Minute)
	cases := []struct {
		name  string
		now   time.Time
		id    uuid.UUID
		token dedupe.Token
		want  string
	}{
		{"first", later, newID(later, 1), 1, "accepted"},
		{"again by the same send", later, newID(later, 1), 1, "accepted"},
		{"again by another send", later, newID(later, 1), 2, "duplicate"},
		{"again after minutes", later.Add(9 * time.Minute), newID(later, 1), 2, "duplicate"},
		{"again after the window", later.Add(11 * time.Minute), newID(later, 1), 2, "old"},
		{"before the history", later, newID(epoch.Add(m.StartMargin-time.Millisecond), 1), 1, "old"},
		{"at the start of the history", later, newID(epoch.Add(m.StartMargin), 1), 1, "accepted"},
		{"a little in the future", later, newID(later.Add(m.MaxFuture), 2), 1, "accepted"},
		{"in the future", later, newID(later.Add(m.MaxFuture+time.Millisecond), 2), 1, "future"},
		{"another version", later, uuid.Must(uuid.NewRandom()), 1, "version"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := dedupe.NewHistory(epoch, 100, m)
			if err := h.Claim(later, newID(later, 1), 1); err != nil {
				t.Fatal(err)
			}
			if got := outcome(h.Claim(c.now, c.id, c.token)); got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
}

func TestHistoryRelease(t *testing.T) {
	h := dedupe.NewHistory(epoch, 100, dedupe.DefaultMargins)
	now := epoch.Add(time.Minute)
	id := newID(now, 1)
	_ = h.Claim(now, id, 1)
	h.Release(id, 2)
	if got := outcome(h.Claim(now, id, 2)); got != "duplicate" {
		t.Errorf("released by another send: %s", got)
	}
	h.Release(id, 1)
	if got := outcome(h.Claim(now, id, 2)); got != "accepted" {
		t.Errorf("after release: %s", got)
	}
}

// TestHistoryModel checks with random IDs, random times and a small limit that no ID
// is accepted for two sends and that the history does not exceed its limit.
func TestHistoryModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 5
		now := epoch.Add(time.Minute)
		h := dedupe.NewHistory(epoch, limit, dedupe.DefaultMargins)
		accepted := make(map[uuid.UUID]dedupe.Token)
		var ids []uuid.UUID
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "wait")) * time.Second)
			if len(ids) == 0 || rapid.Bool().Draw(t, "new") {
				age := time.Duration(rapid.IntRange(-2000, 30_000).Draw(t, "age")) * time.Millisecond
				ids = append(ids, newID(now.Add(-age), byte(i)))
			}
			id := rapid.SampledFrom(ids).Draw(t, "id")
			token := dedupe.Token(i + 1)
			if h.Claim(now, id, token) == nil {
				if earlier, ok := accepted[id]; ok {
					t.Fatalf("%s accepted for sends %d and %d", id, earlier, token)
				}
				accepted[id] = token
			}
			if h.Len() > limit {
				t.Fatalf("%d IDs in the history", h.Len())
			}
		}
	})
}

func BenchmarkHistory(b *testing.B) {
	h := dedupe.NewHistory(epoch, dedupe.MaxIDs, dedupe.DefaultMargins)
	now := epoch.Add(time.Minute)
	n := uint32(0)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		n++
		id := newID(now, byte(n))
		id[14], id[13] = byte(n>>8), byte(n>>16)
		_ = h.Claim(now, id, 1)
	}
	b.ReportMetric(float64(h.Len()), "IDs")
}
