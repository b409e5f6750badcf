package shard

import (
	"testing"
	"time"
)

func TestDecide(t *testing.T) {
	now := time.Unix(1000, 0)
	self := Owner{Host: "a", Incarnation: 5}
	own := Claim{Owner: Owner{Host: "a", Incarnation: 5, Epoch: 3}}
	earlier := Claim{Owner: Owner{Host: "a", Incarnation: 4, Epoch: 3}}
	later := Claim{Owner: Owner{Host: "a", Incarnation: 6, Epoch: 3}}
	other := Claim{Owner: Owner{Host: "b", Incarnation: 9, Epoch: 3}}
	released := Claim{Owner: other.Owner, Released: true}
	away := now.Add(-time.Minute)
	tests := map[string]struct {
		kind Kind
		s    situation
		want action
	}{
		"unclaimed and wanted":             {KindQueue, situation{wanted: "a", ready: true}, actClaim},
		"unclaimed before ready":           {KindQueue, situation{wanted: "a"}, actNone},
		"unclaimed, wanted elsewhere":      {KindQueue, situation{wanted: "b", ready: true}, actNone},
		"released needs no steady store":   {KindFront, situation{wanted: "a", ready: true, claimed: true, claim: released}, actClaim},
		"released, wanted elsewhere":       {KindCell, situation{wanted: "c", ready: true, claimed: true, claim: released}, actNone},
		"own and running":                  {KindCell, situation{wanted: "a", claimed: true, claim: own, held: true}, actNone},
		"own, not running":                 {KindCell, situation{wanted: "a", claimed: true, claim: own}, actAdopt},
		"own, runner failed":               {KindCell, situation{wanted: "a", claimed: true, claim: own, held: true, stopped: true}, actReclaim},
		"own, wanted elsewhere for long":   {KindFront, situation{wanted: "b", claimed: true, claim: own, held: true, awaySince: away, settled: true}, actHandOver},
		"own, wanted elsewhere for now":    {KindFront, situation{wanted: "b", claimed: true, claim: own, held: true, awaySince: now, settled: true}, actNone},
		"own, elsewhere, store not steady": {KindFront, situation{wanted: "b", claimed: true, claim: own, held: true, awaySince: away}, actNone},
		"running, claim passed on":         {KindQueue, situation{wanted: "a", claimed: true, claim: other, held: true, ownerLive: true}, actYield},
		"running, claim released":          {KindQueue, situation{wanted: "a", ready: true, claimed: true, claim: released, held: true}, actYield},
		"running, later process":           {KindFront, situation{wanted: "a", claimed: true, claim: later, held: true}, actYield},
		"earlier process of this host":     {KindFront, situation{wanted: "a", ready: true, claimed: true, claim: earlier}, actClaim},
		"earlier process, not wanted":      {KindFront, situation{wanted: "b", ready: true, claimed: true, claim: earlier}, actNone},
		"later process of this host":       {KindQueue, situation{wanted: "a", ready: true, claimed: true, claim: later, settled: true}, actNone},
		"other is live":                    {KindQueue, situation{wanted: "a", ready: true, claimed: true, claim: other, ownerLive: true, settled: true}, actNone},
		"other lapsed":                     {KindQueue, situation{wanted: "a", ready: true, claimed: true, claim: other, settled: true}, actClaim},
		"other lapsed, cell":               {KindCell, situation{wanted: "a", ready: true, claimed: true, claim: other, settled: true}, actClaim},
		"other lapsed, store not steady":   {KindQueue, situation{wanted: "a", ready: true, claimed: true, claim: other}, actNone},
		"other lapsed, wanted elsewhere":   {KindQueue, situation{wanted: "c", ready: true, claimed: true, claim: other, settled: true}, actNone},
		"other ended":                      {KindQueue, situation{wanted: "a", ready: true, claimed: true, claim: other, ownerEnded: true}, actClaim},
		"front, other live":                {KindFront, situation{wanted: "a", ready: true, claimed: true, claim: other, ownerLive: true, settled: true, boundPassed: true}, actNone},
		"front, other lapsed":              {KindFront, situation{wanted: "a", ready: true, claimed: true, claim: other, settled: true}, actNone},
		"front, other ended":               {KindFront, situation{wanted: "a", ready: true, claimed: true, claim: other, ownerEnded: true}, actClaim},
		"front, bound passed":              {KindFront, situation{wanted: "a", ready: true, claimed: true, claim: other, settled: true, boundPassed: true}, actVerify},
		"front, bound, store not steady":   {KindFront, situation{wanted: "a", ready: true, claimed: true, claim: other, boundPassed: true}, actNone},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := test.s
			s.now, s.kind, s.self, s.handOverWait = now, test.kind, self, 30*time.Second
			if got := decide(s); got != test.want {
				t.Errorf("got action %d, want %d", got, test.want)
			}
		})
	}
}
