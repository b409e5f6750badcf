package shard

import (
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

// action is what a host does about a shard.
type action int

const (
	actNone           action = iota
	actClaim                 // write a claim with the next epoch, then run
	actAdopt                 // run: the claim in the store is already this process's
	actRestart               // the runner has ended: run again, under a new epoch unless it is a front
	actHandOver              // stop the runner, then release
	actStop                  // stop the runner: the shard has passed to another owner
	actVerifyAndClaim        // read the owner's renewal before the bound decides
)

// situation is all that the decision about one shard depends on.
type decisionInput struct {
	now     time.Time
	kind    Kind
	self    Owner        // host and incarnation of this process
	desired fleet.HostID // "" if the shard is not wanted on any live host

	claim    Claim
	hasClaim bool // a claim exists

	held       bool // this process runs the shard or did so until it failed
	restartDue bool // the runner has ended and is due to run again

	notDesiredSince time.Time // since when wanted has been the same other host; zero if it is not
	ready           bool      // this host has known the members and claims long enough to claim
	storeSteady     bool      // the store has answered steadily for one lease time

	ownerLive        bool // the owner's record was last seen alive
	ownerEnded       bool // proof that the owner's process has ended
	takeoverTimedOut bool // the long bound since the last renewal that was seen has passed
	handoverDelay    time.Duration
}

// decide returns what to do about a shard.
//
// Queues and cells pass when the owner's lease is gone, since journal and
// fencing tokens stop the old owner. Fronts have no such fence: they pass
// only on release, on proof that the process ended, or after the bound, by
// when the owner has stopped by its own clock.
func decide(s decisionInput) action {
	isOwn := s.hasClaim && !s.claim.Released && s.claim.Host == s.self.Host && s.claim.Incarnation == s.self.Incarnation
	switch {
	case s.held && !isOwn:
		return actStop
	case isOwn:
		return decideOwn(s)
	case s.desired != s.self.Host || !s.ready:
		return actNone
	case !s.hasClaim || s.claim.Released:
		return actClaim
	case s.claim.Host == s.self.Host:
		return decidePredecessor(s)
	default:
		return decideOther(s)
	}
}

func decideOwn(s decisionInput) action {
	overdue := !s.notDesiredSince.IsZero() && s.now.Sub(s.notDesiredSince) >= s.handoverDelay
	switch {
	case overdue && s.storeSteady:
		return actHandOver
	case !s.held:
		return actAdopt
	case s.restartDue:
		return actRestart
	default:
		return actNone
	}
}

// decidePredecessor is about a shard of another process of this host. An
// earlier one has ended, or this one could not have its place.
func decidePredecessor(s decisionInput) action {
	if s.claim.Incarnation < s.self.Incarnation {
		return actClaim
	}
	return actNone
}

func decideOther(s decisionInput) action {
	switch {
	case s.ownerEnded:
		return actClaim
	case s.ownerLive || !s.storeSteady:
		return actNone
	case s.kind != KindFront:
		return actClaim
	case s.takeoverTimedOut:
		return actVerifyAndClaim
	default:
		return actNone
	}
}
