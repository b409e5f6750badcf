package settings

import (
	"encoding/json"
	"errors"
	"reflect"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

// example has a value at every level of the tree.
const example = `{
	"values": {"objective_ms": 100, "priority": 10},
	"organisations": {
		"balkantrans": {
			"values": {"objective_ms": 90, "queue_length": 0},
			"services": {"reclaim": {"queue_length": 7, "objective_ms": 60}, "claims": {"objective_ms": 50}},
			"job_classes": {"invoice-check": {"priority": 93, "max_attempts": 9}},
			"data_centres": {
				"sofia-1": {
					"values": {"objective_ms": 80},
					"services": {"reclaim": {"objective_ms": 40}},
					"job_classes": {"invoice-check": {"priority": 95}}
				}
			}
		},
		"verband": {}
	},
	"data_centres": {
		"sofia-1": {"region": "bulgaria", "state": "in", "cells": 3},
		"ruse": {"region": "bulgaria", "state": "out", "cells": 1}
	},
	"teams": {
		"fuel": {"organisation": "balkantrans", "region": "bulgaria", "quota": {"milli_cores": 64000, "memory_mb": 1024, "accelerators": 0}, "shards": 2}
	}
}`

func mustDecode(t testing.TB, text string) *Tree {
	t.Helper()
	tree, err := Decode([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return tree
}

func TestDecodeRejects(t *testing.T) {
	location := `{"data_centres": {"a": {"region": "r", "state": "in", "cells": 1}},
		"organisations": {"o": {"data_centres": {"a": %s}}}}`
	tests := []struct{ name, text, want string }{
		{"invalid JSON", `nonsense`, "not valid JSON at byte 2"},
		{"empty input", ``, "not valid JSON at byte 0: unexpected end"},
		{"truncated", `{"values": {`, "unexpected end"},
		{"two values", `{} {}`, "data after the value"},
		{"not an object", `[]`, "must be an object"},
		{"unknown name", `{"value": {}}`, "settings: value: unknown name"},
		{"unknown value", `{"values": {"objective": 1}}`, "settings: values.objective: unknown name"},
		{"other case", `{"values": {"Objective_ms": 1}}`, "settings: values.Objective_ms: unknown name"},
		{"given twice", `{"values": {"priority": 1, "priority": 2}}`, "settings: values.priority: given twice"},
		{"null", `{"values": {"priority": null}}`, "settings: values.priority: null is not a value, leave the name out, allowed: 0 to 100"},
		{"wrong type", `{"values": {"priority": "high"}}`, `settings: values.priority: "high" is not a whole number, allowed: 0 to 100`},
		{"fraction", `{"values": {"priority": 1.5}}`, "settings: values.priority: 1.5 is not a whole number, allowed: 0 to 100"},
		{"overflow", `{"values": {"buffer_bytes": 99999999999999999999}}`, "settings: values.buffer_bytes: 99999999999999999999 is not a whole number, allowed: 0 to 16777216"},
		{"below", `{"values": {"objective_ms": 0}}`, "settings: values.objective_ms: 0 is out of range, allowed: 1 to 600000"},
		{"above", `{"values": {"retry_budget_percent": 100.5}}`, "settings: values.retry_budget_percent: 100.5 is out of range, allowed: 0 to 100"},
		{"lease shorter than cells support", `{"values": {"worker_lease_ms": 2000}}`, "settings: values.worker_lease_ms: 2000 is out of range, allowed: 3000 to 60000"},
		{"throttle floor of 0", `{"values": {"throttle_floor": 0}}`, "settings: values.throttle_floor: 0 is out of range, allowed: 0.01 to 1"},
		{"state", `{"data_centres": {"a": {"region": "r", "state": "away", "cells": 1}}}`, "settings: data_centres.a.state: away is out of range, allowed: in or out"},
		{"no region", `{"data_centres": {"a": {"state": "in", "cells": 1}}}`, "settings: data_centres.a.region: missing"},
		{"no cells", `{"data_centres": {"a": {"region": "r", "state": "in"}}}`, "settings: data_centres.a.cells: 0 is out of range, allowed: 1 to 64"},
		{"null data centre", `{"data_centres": {"a": null}}`, "settings: data_centres.a: must be an object"},
		{"negative quota", `{"organisations": {"o": {}}, "teams": {"t": {"organisation": "o", "region": "r", "quota": {"memory_mb": -1}, "shards": 1}}}`, "settings: teams.t.quota.memory_mb: -1 is out of range, allowed: from 0"},
		{"team of unknown organisation", `{"teams": {"t": {"organisation": "o", "region": "r", "shards": 1}}}`, `settings: teams.t.organisation: no organisation "o" in organisations`},
		{"team without a region", `{"organisations": {"o": {}}, "teams": {"t": {"organisation": "o", "shards": 1}}}`, "settings: teams.t.region: missing"},
		{"team in unknown region", `{"organisations": {"o": {}}, "teams": {"t": {"organisation": "o", "region": "r", "shards": 1}}}`, `settings: teams.t.region: no data centre of region "r" in data_centres`},
		{"leaf", strings.Replace(location, "%s", `{"services": {"s": {"concurrency": 0}}}`, 1), "settings: organisations.o.data_centres.a.services.s.concurrency: 0 is out of range, allowed: 1 to 100000"},
		{"values below a leaf", strings.Replace(location, "%s", `{"services": {"s": {"values": {}}}}`, 1), "settings: organisations.o.data_centres.a.services.s.values: unknown name"},
		{"unknown data centre", `{"organisations": {"o": {"data_centres": {"a": {}}}}}`, "settings: organisations.o.data_centres.a: no such data centre in data_centres"},
		{"name with a dot", `{"organisations": {"o.p": {}}}`, "settings: organisations.o.p: not a name, allowed: 1 to 63 of"},
		{"name with a slash", `{"organisations": {"o": {}}, "teams": {"a/b": {"organisation": "o", "shards": 1}}}`, "settings: teams.a/b: not a name, allowed: 1 to 63 of"},
		{"window format", `{"values": {"guarantee_percent": {"5-17": 1}}}`, "settings: values.guarantee_percent.5-17: not a window of the day, allowed: HH:MM-HH:MM in UTC"},
		{"window hour", `{"values": {"guarantee_percent": {"05:00-25:00": 1}}}`, "not a window of the day"},
		{"empty window", `{"values": {"guarantee_percent": {"05:00-05:00": 1}}}`, "not a window of the day"},
		{"guarantee above 100 percent", `{"values": {"guarantee_percent": {"05:00-06:00": 101}}}`, "settings: values.guarantee_percent.05:00-06:00: 101 is out of range, allowed: HH:MM-HH:MM in UTC, each from 0 to 100"},
		{"windows overlap", `{"values": {"guarantee_percent": {"22:00-05:00": 1, "04:59-06:00": 1}}}`, "settings: values.guarantee_percent.04:59-06:00: overlaps another window, allowed:"},
		{"guarantee of a service", strings.Replace(location, "%s", `{"services": {"s": {"guarantee_percent": {}}}}`, 1), "settings: organisations.o.data_centres.a.services.s.guarantee_percent: has no effect on a service or job class"},
		{"sum of guarantees above 100 percent", `{"organisations": {"o": {"values": {"guarantee_percent": {"00:00-24:00": 60}}}, "p": {"values": {"guarantee_percent": {"22:00-05:00": 40, "05:00-22:00": 41}}}}}`, "settings: organisations.p.values.guarantee_percent: organisations are guaranteed 101% in all at 05:00 UTC, allowed: a sum of 0 to 100"},
		{"sum of guarantees above 100 percent in a data centre", `{"data_centres": {"a": {"region": "r", "state": "in", "cells": 1}}, "organisations": {"o": {"values": {"guarantee_percent": {"00:00-24:00": 60}}}, "p": {"data_centres": {"a": {"values": {"guarantee_percent": {"23:00-01:00": 41}}}}}}}`, "settings: organisations.p.data_centres.a.values.guarantee_percent: organisations are guaranteed 101% in all at 00:00 UTC in a"},
		{"empty name", `{"organisations": {"": {}}}`, "settings: organisations.: not a name"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Decode([]byte(tt.text))
			var invalid *InvalidError
			if !errors.As(err, &invalid) {
				t.Fatalf("got %v, want an InvalidError", err)
			}
			if !strings.Contains(invalid.Error(), tt.want) {
				t.Errorf("got  %s\nwant %s", invalid, tt.want)
			}
		})
	}
}

func TestValuesMirrorResolved(t *testing.T) {
	resolved := reflect.VisibleFields(reflect.TypeFor[Resolved]())
	values := reflect.VisibleFields(reflect.TypeFor[Values]())
	if len(values) != len(resolved) {
		t.Fatalf("Values has %d fields, Resolved %d", len(values), len(resolved))
	}
	for i, r := range resolved {
		v := values[i]
		name, _, _ := strings.Cut(v.Tag.Get("json"), ",")
		if v.Name != r.Name || name != r.Tag.Get("json") || v.Type != reflect.PointerTo(r.Type) {
			t.Errorf("%s %s %q does not mirror %s %s %q", v.Name, v.Type, name, r.Name, r.Type, r.Tag.Get("json"))
		}
		if rangeText(v.Tag.Get("validate")) == "" {
			t.Errorf("%s has no allowed range", v.Name)
		}
	}
}

func TestDefaultsAreAllowed(t *testing.T) {
	data, err := json.Marshal(DefaultValues())
	if err != nil {
		t.Fatal(err)
	}
	mustDecode(t, `{"values": `+string(data)+`}`)
	if err := DefaultTree().Validate(); err != nil {
		t.Error(err)
	}
}

func TestInheritance(t *testing.T) {
	s := NewSnapshot(mustDecode(t, example), 7)
	tests := []struct {
		name      string
		org       fleet.Organisation
		dc        fleet.DataCentre
		service   fleet.Service
		objective int64
		queue     int
	}{
		{"data centre's leaf overrides organisation's leaf", "balkantrans", "sofia-1", "reclaim", 40, 7},
		{"organisation's leaf overrides data centre", "balkantrans", "sofia-1", "claims", 50, 0},
		{"unknown service", "balkantrans", "sofia-1", "other", 80, 0},
		{"data centre without a level", "balkantrans", "ruse", "reclaim", 60, 7},
		{"no data centre", "balkantrans", "", "reclaim", 60, 7},
		{"organisation without values", "verband", "sofia-1", "reclaim", 100, 256},
		{"unknown organisation", "nobody", "sofia-1", "reclaim", 100, 256},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := s.Service(tt.org, tt.dc, tt.service)
			if got.ObjectiveMS != tt.objective || got.QueueLength != tt.queue {
				t.Errorf("objective %d, queue %d; want %d, %d", got.ObjectiveMS, got.QueueLength, tt.objective, tt.queue)
			}
		})
	}
	if got := s.JobClass("balkantrans", "sofia-1", "invoice-check"); got.Priority != 95 || got.MaxAttempts != 9 {
		t.Errorf("priority %d, %d attempts of the job class, want 95, 9", got.Priority, got.MaxAttempts)
	}
	if got := s.JobClass("balkantrans", "", "invoice-check"); got.Priority != 93 || got.MaxAttempts != 9 {
		t.Errorf("priority %d, %d attempts without a data centre, want 93, 9", got.Priority, got.MaxAttempts)
	}
	s.Teams()["fuel"] = Team{}
	s.DataCentres()["ruse"] = DataCentre{}
	if s.Teams()["fuel"].Shards != 2 || s.DataCentres()["ruse"].State != DataCentreOutOfService || s.Revision() != 7 {
		t.Error("snapshot was modified through a map that it returned")
	}
}

// genValues draws Values in which a random subset of three values is set.
func genValues(t *rapid.T, label string) Values {
	var v Values
	if rapid.Bool().Draw(t, label+" objective set") {
		n := rapid.Int64Range(1, 600_000).Draw(t, label+" objective")
		v.ObjectiveMS = &n
	}
	if rapid.Bool().Draw(t, label+" queue set") {
		n := rapid.IntRange(0, 100).Draw(t, label+" queue")
		v.QueueLength = &n
	}
	if rapid.Bool().Draw(t, label+" floor set") {
		f := rapid.Float64Range(0.01, 1).Draw(t, label+" floor")
		v.ThrottleFloor = &f
	}
	return v
}

func genTree(t *rapid.T) *Tree {
	names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 0, 3, rapid.ID[string])
	tree := &Tree{
		Values:        genValues(t, "root"),
		Organisations: map[fleet.Organisation]*Organisation{},
		DataCentres:   map[fleet.DataCentre]*DataCentre{},
	}
	centres := names.Draw(t, "data centres")
	for _, dc := range centres {
		tree.DataCentres[fleet.DataCentre(dc)] = &DataCentre{Region: "r", State: DataCentreInService, Cells: 1}
	}
	for _, org := range names.Draw(t, "organisations") {
		o := &Organisation{
			Values: genValues(t, org), Leaves: genLeaves(t, org, names),
			DataCentres: map[fleet.DataCentre]*Location{},
		}
		tree.Organisations[fleet.Organisation(org)] = o
		for _, dc := range centres {
			label := org + " " + dc
			o.DataCentres[fleet.DataCentre(dc)] = &Location{Values: genValues(t, label), Leaves: genLeaves(t, label, names)}
		}
	}
	return tree
}

func genLeaves(t *rapid.T, label string, names *rapid.Generator[[]string]) Leaves {
	l := Leaves{Services: map[fleet.Service]*Values{}, JobClasses: map[fleet.JobClass]*Values{}}
	for _, name := range names.Draw(t, label+" leaves") {
		service, class := genValues(t, label+" service "+name), genValues(t, label+" class "+name)
		l.Services[fleet.Service(name)] = &service
		l.JobClasses[fleet.JobClass(name)] = &class
	}
	return l
}

// Explain and the snapshot resolve a leaf by separate code and must agree.
func TestExplainAgreesWithSnapshot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree := genTree(t)
		s := NewSnapshot(tree, 1)
		names := rapid.SampledFrom([]string{"a", "b", "c", "d", ""})
		leaf := Leaf{Organisation: fleet.Organisation(names.Draw(t, "organisation")), DataCentre: fleet.DataCentre(names.Draw(t, "data centre"))}
		var want Resolved
		if rapid.Bool().Draw(t, "is service") {
			leaf.Service = fleet.Service(names.Draw(t, "service"))
			want = s.Service(leaf.Organisation, leaf.DataCentre, leaf.Service)
		} else {
			leaf.JobClass = fleet.JobClass(names.Draw(t, "class"))
			want = s.JobClass(leaf.Organisation, leaf.DataCentre, leaf.JobClass)
		}
		values := make(map[string]any)
		for _, o := range tree.Explain(leaf) {
			values[o.Name] = o.Value
			checkOrigin(t, tree, o)
		}
		data, _ := json.Marshal(values)
		var got Resolved
		if err := json.Unmarshal(data, &got); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("Explain differs from the snapshot: %s", diff)
		}
	})
}

func checkOrigin(t *rapid.T, tree *Tree, o Origin) {
	if o.Level == LevelDefault {
		return
	}
	want, _ := json.Marshal(o.Value)
	if got, err := tree.Get(o.Path); err != nil || string(got) != string(want) {
		t.Errorf("%s is %s (%v) in the tree, %s in Explain", o.Path, got, err, want)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(example))
	f.Add([]byte(`{"values": {"objective_ms": 1e2}}`))
	f.Add([]byte(`{"values": {"\u006fbjective_ms": 1}}`))
	f.Add([]byte(`{"organisations": {"a": {"values": null}}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		tree, err := Decode(data)
		if err != nil {
			var invalid *InvalidError
			if !errors.As(err, &invalid) || strings.ContainsAny(invalid.Error(), "\n") {
				t.Fatalf("got %v, want an InvalidError of one line", err)
			}
			return
		}
		encoded, err := tree.Encode()
		if err != nil {
			t.Fatal(err)
		}
		again, err := Decode(encoded)
		if err != nil {
			t.Fatalf("%s can be decoded, but its encoding %s can't: %v", data, encoded, err)
		}
		if diff := cmp.Diff(tree, again, cmpopts.EquateEmpty()); diff != "" {
			t.Fatal(diff)
		}
		NewSnapshot(tree, 1).Service("a", "b", "c")
	})
}
