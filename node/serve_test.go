package node

import (
	"errors"
	"testing"

	"github.com/fuchsiahill/fuchsiahill/intake"
	"github.com/fuchsiahill/fuchsiahill/relay"
)

// The store turns this host away, loses its answers, or is down for all: a
// request is done elsewhere where that is possible, and is never said not to
// have been carried out when a try may still be applied.
func TestCarryOut(t *testing.T) {
	away := &intake.RefusedError{Reason: "away", StoreUnavailable: true}
	load := &intake.RefusedError{Reason: "load"}
	uncertain := &intake.UnknownOutcomeError{Cause: errors.New("no answer")}
	noJob := &intake.JobNotFoundError{ID: "1"}
	nobody := &relay.NotRelayedError{Cause: errors.New("nobody")}
	tests := map[string]struct {
		lost    bool
		local   []error // by try
		relayed error
		want    error
		tries   int // here
	}{
		"done here":                       {local: []error{nil}, tries: 1},
		"refused for load":                {local: []error{load}, want: load, tries: 1},
		"turned away here":                {local: []error{away}, tries: 1},
		"store lost, done elsewhere":      {lost: true},
		"store lost for all":              {lost: true, relayed: away, want: away},
		"store lost, no other host":       {lost: true, local: []error{away}, relayed: nobody, want: away, tries: 1},
		"answer lost, there already":      {local: []error{uncertain}, tries: 1},
		"answer lost, refused elsewhere":  {local: []error{uncertain}, relayed: load, want: uncertain, tries: 1},
		"answer lost, away elsewhere":     {local: []error{uncertain}, relayed: away, want: uncertain, tries: 1},
		"answer lost, no such job":        {local: []error{uncertain}, relayed: noJob, want: noJob, tries: 1},
		"answer lost at the owner":        {local: []error{uncertain, nil}, relayed: nobody, tries: 2},
		"answer lost, then away at owner": {local: []error{uncertain, away}, relayed: nobody, want: uncertain, tries: 2},
		"away, no other host":             {local: []error{away}, relayed: nobody, want: away, tries: 1},
		"away here, answer lost there":    {local: []error{away}, relayed: uncertain, want: uncertain, tries: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tries := 0
			local := func() error {
				tries++
				if tries > len(tt.local) {
					t.Fatalf("try %d here", tries)
				}
				return tt.local[tries-1]
			}
			got := carryOut(tt.lost, local, func() error { return tt.relayed })
			if !errors.Is(got, tt.want) || got != nil && tt.want == nil {
				t.Errorf("got %v, want %v", got, tt.want)
			}
			if tries != tt.tries {
				t.Errorf("%d tries here, want %d", tries, tt.tries)
			}
		})
	}
}
