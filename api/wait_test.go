package api

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/member"
	"github.com/fuchsiahill/fuchsiahill/settings"
	"github.com/fuchsiahill/fuchsiahill/store"
)

func TestWait(t *testing.T) {
	host := func(id fleet.HostID) member.Host { return member.Host{ID: id, Incarnation: 2} }
	summary := func(incarnation fleet.Incarnation, revision store.Revision) member.Summary {
		return member.Summary{Incarnation: incarnation, Settings: revision}
	}
	tests := []struct {
		name    string
		hosts   []member.Host
		summary map[fleet.HostID]member.Summary
		want    WaitResult
	}{
		{"all", []member.Host{host("host-1"), host("host-2")}, map[fleet.HostID]member.Summary{"host-2": summary(2, 1)},
			WaitResult{InForce: true, Hosts: 2}},
		{"higher revision", []member.Host{host("host-2")}, map[fleet.HostID]member.Summary{"host-2": summary(2, 9)},
			WaitResult{InForce: true, Hosts: 1}},
		{"laggard", []member.Host{host("host-1"), host("host-2")}, map[fleet.HostID]member.Summary{"host-2": summary(2, 0)},
			WaitResult{Hosts: 2, Laggards: []HostRevision{{Host: "host-2"}}}},
		{"host without a summary", []member.Host{host("host-2")}, nil,
			WaitResult{Hosts: 1, Laggards: []HostRevision{{Host: "host-2"}}}},
		{"summary of an earlier incarnation", []member.Host{host("host-2")}, map[fleet.HostID]member.Summary{"host-2": summary(1, 1)},
			WaitResult{Hosts: 1, Laggards: []HostRevision{{Host: "host-2"}}}},
		{"no host known", nil, nil, WaitResult{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				f.Members = &directory{tt.hosts, tt.summary}
				start := time.Now()
				w, e := f.call("GET", "/v1/settings/wait?revision=1&timeout_ms=3000", "viewer", "")
				if w.Code != http.StatusOK {
					t.Fatalf("answered %d %+v", w.Code, e)
				}
				var got WaitResult
				if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
					t.Fatal(err)
				}
				tt.want.Revision = 1
				if tt.want.Laggards == nil {
					tt.want.Laggards = []HostRevision{}
				}
				if diff := cmp.Diff(tt.want, got); diff != "" {
					t.Error(diff)
				}
				want := 3 * time.Second
				if tt.want.InForce {
					want = 0
				}
				if took := time.Since(start); took != want {
					t.Errorf("took %s, want %s", took, want)
				}
			})
		})
	}
}

// The wait must end as soon as the lagging host catches up.
func TestWaitEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.Members = &directory{hosts: []member.Host{{ID: "host-1"}}}
		start := time.Now()
		go func() {
			time.Sleep(time.Second)
			if _, err := f.Editor.Apply(t.Context(), settings.Change{ID: "a", Actor: "ana", Path: "values.priority", Value: []byte("1")}); err != nil {
				t.Error(err)
			}
		}()
		w, _ := f.call("GET", "/v1/settings/wait?revision=2&timeout_ms=10000", "viewer", "")
		if took := time.Since(start); took < time.Second || took > time.Second+2*waitInterval || !strings.Contains(w.Body.String(), `"in_force":true`) {
			t.Errorf("answered %s after %s", w.Body, took)
		}
	})
}
