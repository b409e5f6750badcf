package admission

import (
	"errors"
	"maps"
	"testing"
	"time"
)

// at is the time of all cases.
const at = 100 * time.Second

func connection(phase Phase, held, received int64, age, quiet time.Duration) Connection {
	return Connection{Phase: phase, Held: held, Received: received, Since: at - age, Progress: at - quiet}
}

func TestHolderThatGivesLeastIsShed(t *testing.T) {
	const moment = 10 * time.Millisecond
	tests := map[string]struct {
		connections map[string]Connection
		want        string // empty: none
	}{
		"body that stopped short goes before a slow one": {map[string]Connection{
			"stopped": connection(PhaseBody, 260_000, 260_000, 3*time.Second, 2*time.Second),
			"slow":    connection(PhaseBody, 260_000, 20_000, 20*time.Second, moment),
		}, "stopped"},
		"longest stop goes first": {map[string]Connection{
			"first":  connection(PhaseBody, 16_000, 16_000, 9*time.Second, 8*time.Second),
			"second": connection(PhaseBody, 260_000, 260_000, 3*time.Second, 2*time.Second),
		}, "first"},
		"lowest rate goes first": {map[string]Connection{
			"fast": connection(PhaseBody, 128_000, 128_000, time.Second, moment),
			"slow": connection(PhaseBody, 128_000, 128_000, 30*time.Second, moment),
		}, "slow"},
		"small slow body stays before a large one of the crowd": {map[string]Connection{
			"small": connection(PhaseBody, 16_000, 8_000, time.Second, moment),
			"large": connection(PhaseBody, 260_000, 60_000, time.Second, moment),
		}, "large"},
		"header without an end": {map[string]Connection{
			"header": connection(PhaseHeader, 20_000, 16_000, 2*time.Second, 2*time.Second),
			"body":   connection(PhaseBody, 260_000, 260_000, time.Second, moment),
		}, "header"},
		"requests being served are kept": {map[string]Connection{
			"serving": connection(PhaseServing, 260_000, 260_000, 60*time.Second, 60*time.Second),
			"answer":  connection(PhaseAnswer, 260_000, 260_000, 60*time.Second, 60*time.Second),
			"silent":  connection(PhaseNew, 0, 0, 60*time.Second, 60*time.Second),
		}, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got, ok := WeakestHolder(at, maps.All(tt.connections))
			if got != tt.want || ok != (tt.want != "") {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

func TestConnectionThatGivesLeastIsShed(t *testing.T) {
	const moment = 10 * time.Millisecond
	// Each group is shed before the next; within a group the first goes first.
	order := []struct {
		name string
		Connection
	}{
		{"body that stopped short", connection(PhaseBody, 260_000, 260_000, 9*time.Second, 8*time.Second)},
		{"silent", connection(PhaseNew, 0, 0, 2*time.Second, 2*time.Second)},
		{"header without an end", connection(PhaseHeader, 0, 100, 2*time.Second, time.Second)},
		{"just accepted", connection(PhaseNew, 0, 0, moment, moment)},
		{"idle for long", connection(PhaseIdle, 0, 0, 14*time.Second, 14*time.Second)},
		{"idle", connection(PhaseIdle, 0, 0, moment, moment)},
		{"slow body", connection(PhaseBody, 16_000, 16_000, 20*time.Second, moment)},
		{"fast body", connection(PhaseBody, 260_000, 260_000, time.Second, moment)},
		{"unread answer", connection(PhaseAnswer, 0, 0, 60*time.Second, time.Second)},
		{"", connection(PhaseServing, 260_000, 260_000, 60*time.Second, 60*time.Second)},
		{"", connection(PhaseAnswer, 0, 0, 60*time.Second, moment)},
		{"", connection(PhaseShed, 260_000, 0, 60*time.Second, 60*time.Second)},
	}
	for i, want := range order {
		left := make(map[string]Connection)
		for j, c := range order[i:] {
			if c.name == "" {
				c.name = string(rune('a' + j))
			}
			left[c.name] = c.Connection
		}
		if got, _ := WeakestConnection(at, maps.All(left)); got != want.name {
			t.Errorf("with %d left: got %q, want %q", len(left), got, want.name)
		}
	}
}

func TestCrowdLeavesNoMemoryAtTheSmallestHost(t *testing.T) {
	const memory, descriptors, restingBytes = 184 << 20, 3900, 40 << 20
	l := DefaultLimits(memory, descriptors)
	taken := l.Bytes + int64(l.Connections)*connectionBytes + restingBytes
	if most := int64(memory) * 85 / 100; taken > most {
		t.Errorf("clients and a host at rest take %d bytes, want at most %d", taken, most)
	}
	if l.Connections > descriptors/2 {
		t.Errorf("%d connections leave less than half of %d descriptors", l.Connections, descriptors)
	}
}

func TestRoomForClientsOutlivesTheNeedOfOthers(t *testing.T) {
	l := DefaultLimits(184<<20, 3900)
	for name, tt := range map[string]struct {
		room  int64
		share float64
	}{
		"all of it":    {l.Memory(), 1},
		"more than it": {2 * l.Memory(), 1},
		"half":         {l.Memory() / 2, 0.5},
		"nothing":      {0, minClientShare},
		"less":         {-1 << 30, minClientShare},
	} {
		t.Run(name, func(t *testing.T) {
			got := l.Within(tt.room)
			if share := float64(got.Memory()) / float64(l.Memory()); share > tt.share || share < tt.share-0.01 {
				t.Errorf("clients get %.3f of their memory, want %.3f", share, tt.share)
			}
			if got.ConnectionsPerAddress > got.Connections {
				t.Errorf("%d connections of an address of %d in all", got.ConnectionsPerAddress, got.Connections)
			}
		})
	}
}

func TestLegalBodyOnASlowLinkMeetsADeadline(t *testing.T) {
	const legalBytes, linkBytesPerSecond = 262_144, 2e6 / 8 / 100 // a hundredth of a link of 2 Mbit/s
	l := DefaultLimits(184<<20, 3900)
	for received := int64(0); received < legalBytes; received += 4096 {
		arrival := time.Duration(float64(received) / linkBytesPerSecond * float64(time.Second))
		if deadline := l.BodyDeadline(0, received); deadline < arrival {
			t.Fatalf("%d bytes must be there after %s, and are after %s", received, deadline, arrival)
		}
	}
}

func TestWrongOverrideIsRefused(t *testing.T) {
	for _, o := range []Overrides{{Bytes: -1}, {Connections: -1}, {ConnectionsPerAddress: -1}, {HeaderBytes: 1 << 40}, {BodyRate: -1}, {BodyGraceMS: -1}, {AnswerStallMS: -1}} {
		var wrong *LimitError
		if _, err := o.Apply(DefaultLimits(184<<20, 0)); !errors.As(err, &wrong) {
			t.Errorf("%+v: got %v", o, err)
		}
	}
	got, err := Overrides{Connections: 10, ConnectionsPerAddress: 4}.Apply(DefaultLimits(184<<20, 0))
	if err != nil || got.Connections != 10 || got.ConnectionsPerAddress != 4 {
		t.Errorf("got %+v, %v", got, err)
	}
}
