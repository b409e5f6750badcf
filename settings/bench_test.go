package settings

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"testing"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/store"
)

// benchmarkTree returns a tree with 2 organisations, 6 data centres and 45
// teams, and with 4 services and 20 job classes for each pair of organisation
// and data centre.
func benchmarkTree() *Tree {
	t := &Tree{
		Organisations: make(map[fleet.Organisation]*Organisation),
		DataCentres:   make(map[fleet.DataCentre]*DataCentre),
		Teams:         make(map[fleet.Team]*Team),
	}
	for i := range 6 {
		t.DataCentres[fleet.DataCentre(fmt.Sprint("dc-", i))] = &DataCentre{Region: "r", State: DataCentreInService, Cells: 10}
	}
	for i := range 2 {
		org := &Organisation{DataCentres: make(map[fleet.DataCentre]*Location)}
		t.Organisations[fleet.Organisation(fmt.Sprint("org-", i))] = org
		for dc := range t.DataCentres {
			org.DataCentres[dc] = benchmarkLocation()
		}
	}
	for i := range 45 {
		t.Teams[fleet.Team(fmt.Sprint("team-", i))] = &Team{Organisation: fleet.Organisation(fmt.Sprint("org-", i%2)), Region: "r", Shards: 1}
	}
	return t
}

func benchmarkLocation() *Location {
	l := &Location{Leaves: Leaves{Services: make(map[fleet.Service]*Values), JobClasses: make(map[fleet.JobClass]*Values)}}
	for i := range 4 {
		n := int64(i + 1)
		l.Services[fleet.Service(fmt.Sprint("service-", i))] = &Values{ObjectiveMS: &n}
	}
	for i := range 20 {
		l.JobClasses[fleet.JobClass(fmt.Sprint("class-", i))] = &Values{Priority: &i}
	}
	return l
}

func BenchmarkResolve(b *testing.B) {
	s := NewSnapshot(benchmarkTree(), 1)
	b.ReportAllocs()
	for b.Loop() {
		if s.Service("org-1", "dc-5", "service-3").ObjectiveMS != 4 {
			b.Fatal("wrong value")
		}
	}
}

// BenchmarkCurrent measures the reads that every request makes, on all
// processors in parallel.
func BenchmarkCurrent(b *testing.B) {
	tr := NewTracker(standin.NewStore(), TrackerOptions{})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if tr.Current().Revision() != 0 || !tr.ConfirmedAt().IsZero() {
				b.Error("revision or confirmation time changed")
			}
		}
	})
}

func BenchmarkNewSnapshot(b *testing.B) {
	t := benchmarkTree()
	b.ReportAllocs()
	for b.Loop() {
		NewSnapshot(t, 1)
	}
}

func BenchmarkDecode(b *testing.B) {
	data, err := benchmarkTree().Encode()
	if err != nil {
		b.Fatal(err)
	}
	b.SetBytes(int64(len(data)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Decode(data); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkStoreRoundTrip measures the confirming read that a host makes every
// second.
func BenchmarkStoreRoundTrip(b *testing.B) {
	server := httptest.NewServer(standin.NewStoreServer(newSeededStore(b)))
	defer server.Close()
	s := store.NewHTTP(server.URL, 0)
	b.ReportAllocs()
	for b.Loop() {
		if _, newer, err := s.GetNewer(b.Context(), TreeKey, 1); newer || err != nil {
			b.Fatal(newer, err)
		}
	}
}

// BenchmarkApply measures a complete change over HTTP: a read and a write.
func BenchmarkApply(b *testing.B) {
	s := standin.NewStore()
	value, err := (&document{Tree: benchmarkTree()}).encode()
	if err != nil {
		b.Fatal(err)
	}
	if _, err := s.CompareAndSwap(b.Context(), TreeKey, 0, value, 0); err != nil {
		b.Fatal(err)
	}
	server := httptest.NewServer(standin.NewStoreServer(s))
	defer server.Close()
	e := newTestEditor(store.NewHTTP(server.URL, 0))
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		c := Change{ID: fmt.Sprint(i), Actor: "ana", Path: "values.priority", Value: json.RawMessage(fmt.Sprint(i % 100))}
		if _, err := e.Apply(b.Context(), c); err != nil {
			b.Fatal(err)
		}
	}
}
