package shard

import (
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

// action is what a host does next about a shard.
type action int

const (
	actNone           action = iota
	actClaim                 // write a claim with the next epoch, then run the shard
	actAdopt                 // run the shard: the claim in the store is already this process's
	actRestart               // run the shard again after its runner failed, with a new epoch unless it is a front
	actHandOver              // stop the runner, then release the claim
	actStop                  // stop the runner: the claim is no longer this process's, or was not for a time
	actVerifyAndClaim        // read the owner's renewal again and claim the shard if it is unchanged
)

// decisionInput is everything that the decision about one shard depends on.
type decisionInput struct {
	now     time.Time
	kind    Kind
	self    Owner        // host and incarnation of this process
	desired fleet.HostID // desired owner, "" for none

	claim    Claim
	hasClaim bool // a claim is known

	held       bool // this process runs the shard, or its runner failed and will be restarted
	restartDue bool // the runner failed and is due to be restarted
	revoked    bool // this process runs the front without a right to send, since its claim was lost for a time

	notDesiredSince time.Time // see plan.notDesiredSince
	ready           bool      // this host has known the claims and been a member long enough to claim
	storeSteady     bool      // the store has been available for one lease TTL

	ownerLive        bool // the owner is a live member
	ownerEnded       bool // there is proof that the owner's process has ended
	takeoverTimedOut bool // the front takeover timeout has passed since the last renewal seen
	handoverDelay    time.Duration
}

// decide returns what to do about a shard.
//
// Queues and cells may be claimed once the owner's lease has expired, since the
// journal and fencing tokens reject the old owner. Nothing fences the old owner
// of a front: it may be claimed only after it has been released, on proof that
// the owner's process has ended, or after the takeover timeout, by which time
// the owner has stopped sending by its own clock.
func decide(s decisionInput) action {
	isOwn := s.hasClaim && !s.claim.Released && s.claim.Host == s.self.Host && s.claim.Incarnation == s.self.Incarnation
	switch {
	case s.held && (!isOwn || s.revoked):
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

// decidePredecessor decides about a shard claimed by another process of this
// host. An earlier process has surely ended, since this one has replaced it.
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
