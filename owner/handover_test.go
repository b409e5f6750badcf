package owner

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/intake"
	"github.com/fuchsiahill/fuchsiahill/internal/steady"
	"github.com/fuchsiahill/fuchsiahill/mirror"
	"github.com/fuchsiahill/fuchsiahill/platform"
	"github.com/fuchsiahill/fuchsiahill/store"
	"github.com/fuchsiahill/fuchsiahill/store/storetest"
)

// An owner that was shut down gave up the writes that were due, so that its successor waited
// for workers that it had long lost in an outage of the store.
func TestDrainingOwnerDropsRecordsOfLostWorkers(t *testing.T) {
	d, s := testDispatcher(t) // w1 reported long ago
	s.SetFault(storetest.FaultDown)
	d.commitRecords(t.Context(), d.machine.TakeWorkerWrites(store.MaxTxnEntries-1, steady.Now()))
	s.SetFault(storetest.FaultNone)
	d.handOver()
	e, err := s.Get(intake.WorkerPrefix + "w1")
	if err != nil {
		t.Fatal(err)
	}
	if record, err := decodeWorkerRecord(e.Value); err != nil || !record.Closed {
		t.Errorf("stored %+v, error %v; want w1 closed", record, err)
	}
	if last, _, err := d.owner.lastClaim(); err != nil || last.Term != d.term {
		t.Errorf("last claim %+v, error %v; want that of term %d", last, err, d.term)
	}
}

// An owner that was shut down did not store when the leases end of a worker that it can't
// reach, so that its successor waited for the longest lease from its own claim.
func TestDrainingOwnerDropsLeaseEnd(t *testing.T) {
	d, s := testDispatcher(t)
	now := steady.Now()
	d.machine.RenewalSent("w1", now)
	d.machine.CallFailed("w1", now)
	d.handOver()
	e, err := s.Get(intake.WorkerPrefix + "w1")
	if err != nil {
		t.Fatal(err)
	}
	record, err := decodeWorkerRecord(e.Value)
	if err != nil || record.UnreachedSince != d.term+1 || record.LeaseEnd.Term != d.term {
		t.Errorf("stored %+v, error %v; want the end of the leases of term %d", record, err, d.term)
	}
	if d.machine.MayExtendLease("w1") {
		t.Error("the lease may be extended beyond its stored end")
	}
}

// A host that was restarted between two terms had not seen the claims of earlier ones, and
// counted former leases from its own start.
func TestRestartedHostForgetsEarlierClaims(t *testing.T) {
	s := storetest.NewMemory()
	newOwner := func(id fleet.HostID) *Owner {
		log := func(string, ...any) {}
		shared := mirror.New(s, intake.SharedPrefix, 0, func(store.Event) {}, log)
		return New(Deps{Settings: &platform.Settings{Host: id}, Store: s, Shared: shared, Log: log, Metrics: NewMetrics()})
	}
	first := newOwner("h1")
	first.noteClaim(Claim{Term: 7})
	const between = 50 * time.Millisecond
	time.Sleep(between)
	claim := Claim{Term: 8, TermAgesMS: first.termAges()}
	restarted := newOwner("h2")
	restarted.noteClaim(claim)
	seen := restarted.claimsSeen()
	if terms := slices.Sorted(maps.Keys(seen)); !slices.Equal(terms, []int{7, 8}) {
		t.Fatalf("knows the claims of terms %v, want 7 and 8", terms)
	}
	if age := seen[8] - seen[7]; age < between-time.Millisecond {
		t.Errorf("term 7 was claimed %v before term 8, want at least %v", age, between)
	}
	time.Sleep(between)
	restarted = newOwner("h3") // it sees the claim of term 8 late, and what its owner left at the end
	restarted.noteClaim(claim)
	first.noteClaim(claim)
	restarted.noteClaim(Claim{Term: 8, TermAgesMS: first.termAges()})
	if age := steady.Now() - restarted.claimsSeen()[7]; age < 2*between-2*time.Millisecond {
		t.Errorf("term 7 was claimed %v ago, want at least %v", age, 2*between)
	}
}
