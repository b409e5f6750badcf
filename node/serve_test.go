package node

import (
	"errors"
	"testing"

	"github.com/fuchsiahill/fuchsiahill/intake"
	"github.com/fuchsiahill/fuchsiahill/relay"
)

// The store refuses this host, loses responses, or is down for all hosts. A request
// is carried out by the owner's host where possible, and is never reported as
// refused while an earlier attempt may still be applied.
func TestLocalOrRelayed(t *testing.T) {
	away := &intake.RefusedError{Reason: "away", StoreUnavailable: true}
	load := &intake.RefusedError{Reason: "load"}
	uncertain := &intake.UnknownOutcomeError{Cause: errors.New("no response")}
	noJob := &intake.JobNotFoundError{ID: "1"}
	nobody := &relay.NotRelayedError{Cause: errors.New("nobody")}
	tests := map[string]struct {
		lost    bool
		local   []error // by attempt
		relayed error
		want    error
		tries   int // on this host
	}{
		"done locally":                            {local: []error{nil}, tries: 1},
		"refused for load":                        {local: []error{load}, want: load, tries: 1},
		"store refuses this host":                 {local: []error{away}, tries: 1},
		"disconnected, done by relay":             {lost: true},
		"disconnected, store down for all":        {lost: true, relayed: away, want: away},
		"disconnected, no other host":             {lost: true, local: []error{away}, relayed: nobody, want: away, tries: 1},
		"response lost, done by relay":            {local: []error{uncertain}, tries: 1},
		"response lost, relay refused":            {local: []error{uncertain}, relayed: load, want: uncertain, tries: 1},
		"response lost, store down for relay":     {local: []error{uncertain}, relayed: away, want: uncertain, tries: 1},
		"response lost, no such job":              {local: []error{uncertain}, relayed: noJob, want: noJob, tries: 1},
		"response lost at the owner":              {local: []error{uncertain, nil}, relayed: nobody, tries: 2},
		"response lost, then store down at owner": {local: []error{uncertain, away}, relayed: nobody, want: uncertain, tries: 2},
		"store refuses, no other host":            {local: []error{away}, relayed: nobody, want: away, tries: 1},
		"store refuses, relay response lost":      {local: []error{away}, relayed: uncertain, want: uncertain, tries: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tries := 0
			local := func() error {
				tries++
				if tries > len(tt.local) {
					t.Fatalf("unexpected local attempt %d", tries)
				}
				return tt.local[tries-1]
			}
			got := localOrRelayed(tt.lost, local, func() error { return tt.relayed })
			if !errors.Is(got, tt.want) || got != nil && tt.want == nil {
				t.Errorf("got %v, want %v", got, tt.want)
			}
			if tries != tt.tries {
				t.Errorf("%d local attempts, want %d", tries, tt.tries)
			}
		})
	}
}
