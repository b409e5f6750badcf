package shard

import (
	"testing"
	"time"
)

// TestDecide checks the decision for each state of a shard, its claim and its
// owner.
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
		s    decisionInput
		want action
	}{
		"unclaimed, desired here":          {KindQueue, decisionInput{desired: "a", ready: true}, actClaim},
		"unclaimed before ready":           {KindQueue, decisionInput{desired: "a"}, actNone},
		"unclaimed, desired elsewhere":     {KindQueue, decisionInput{desired: "b", ready: true}, actNone},
		"released needs no steady store":   {KindFront, decisionInput{desired: "a", ready: true, hasClaim: true, claim: released}, actClaim},
		"released, desired elsewhere":      {KindCell, decisionInput{desired: "c", ready: true, hasClaim: true, claim: released}, actNone},
		"own and running":                  {KindCell, decisionInput{desired: "a", hasClaim: true, claim: own, held: true}, actNone},
		"own, not running":                 {KindCell, decisionInput{desired: "a", hasClaim: true, claim: own}, actAdopt},
		"own, runner failed":               {KindCell, decisionInput{desired: "a", hasClaim: true, claim: own, held: true, restartDue: true}, actRestart},
		"own, desired elsewhere for long":  {KindFront, decisionInput{desired: "b", hasClaim: true, claim: own, held: true, notDesiredSince: away, storeSteady: true}, actHandOver},
		"own, desired elsewhere for now":   {KindFront, decisionInput{desired: "b", hasClaim: true, claim: own, held: true, notDesiredSince: now, storeSteady: true}, actNone},
		"own, elsewhere, store not steady": {KindFront, decisionInput{desired: "b", hasClaim: true, claim: own, held: true, notDesiredSince: away}, actNone},
		"running, claimed by another":      {KindQueue, decisionInput{desired: "a", hasClaim: true, claim: other, held: true, ownerLive: true}, actStop},
		"running, claim released":          {KindQueue, decisionInput{desired: "a", ready: true, hasClaim: true, claim: released, held: true}, actStop},
		"running, later process":           {KindFront, decisionInput{desired: "a", hasClaim: true, claim: later, held: true}, actStop},
		"running, claim was lost":          {KindFront, decisionInput{desired: "a", ready: true, hasClaim: true, claim: own, held: true, revoked: true}, actStop},
		"earlier process of this host":     {KindFront, decisionInput{desired: "a", ready: true, hasClaim: true, claim: earlier}, actClaim},
		"earlier process, not desired":     {KindFront, decisionInput{desired: "b", ready: true, hasClaim: true, claim: earlier}, actNone},
		"later process of this host":       {KindQueue, decisionInput{desired: "a", ready: true, hasClaim: true, claim: later, storeSteady: true}, actNone},
		"other is live":                    {KindQueue, decisionInput{desired: "a", ready: true, hasClaim: true, claim: other, ownerLive: true, storeSteady: true}, actNone},
		"other expired":                    {KindQueue, decisionInput{desired: "a", ready: true, hasClaim: true, claim: other, storeSteady: true}, actClaim},
		"other expired, cell":              {KindCell, decisionInput{desired: "a", ready: true, hasClaim: true, claim: other, storeSteady: true}, actClaim},
		"other expired, store not steady":  {KindQueue, decisionInput{desired: "a", ready: true, hasClaim: true, claim: other}, actNone},
		"other expired, desired elsewhere": {KindQueue, decisionInput{desired: "c", ready: true, hasClaim: true, claim: other, storeSteady: true}, actNone},
		"other ended":                      {KindQueue, decisionInput{desired: "a", ready: true, hasClaim: true, claim: other, ownerEnded: true}, actClaim},
		"front, other live":                {KindFront, decisionInput{desired: "a", ready: true, hasClaim: true, claim: other, ownerLive: true, storeSteady: true, takeoverTimedOut: true}, actNone},
		"front, other expired":             {KindFront, decisionInput{desired: "a", ready: true, hasClaim: true, claim: other, storeSteady: true}, actNone},
		"front, other ended":               {KindFront, decisionInput{desired: "a", ready: true, hasClaim: true, claim: other, ownerEnded: true}, actClaim},
		"front, timeout passed":            {KindFront, decisionInput{desired: "a", ready: true, hasClaim: true, claim: other, storeSteady: true, takeoverTimedOut: true}, actVerifyAndClaim},
		"front, timeout, store not steady": {KindFront, decisionInput{desired: "a", ready: true, hasClaim: true, claim: other, takeoverTimedOut: true}, actNone},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := test.s
			s.now, s.kind, s.self, s.handoverDelay = now, test.kind, self, 30*time.Second
			if got := decide(s); got != test.want {
				t.Errorf("got action %d, want %d", got, test.want)
			}
		})
	}
}
