package settings

import (
	"maps"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/store"
)

// locationKey identifies an organisation's level for a data centre, or the
// organisation's own level if dataCentre is empty.
type locationKey struct {
	organisation fleet.Organisation
	dataCentre   fleet.DataCentre
}

type serviceKey struct {
	locationKey
	service fleet.Service
}

type jobClassKey struct {
	locationKey
	class fleet.JobClass
}

// snapshot holds the resolved values of every level in the tree, so that a
// lookup takes at most a few map reads. It is immutable once NewSnapshot has
// returned it.
type snapshot struct {
	revision    store.Revision
	tree        *Tree
	dataCentres map[fleet.DataCentre]DataCentre
	teams       map[fleet.Team]Team
	root        Resolved
	locations   map[locationKey]*Resolved
	services    map[serviceKey]*Resolved
	jobClasses  map[jobClassKey]*Resolved
}

// NewSnapshot resolves every level of a valid tree and returns the result as
// the snapshot of a revision. The tree must not be changed afterwards.
func NewSnapshot(t *Tree, revision store.Revision) Snapshot {
	s := &snapshot{
		revision:    revision,
		tree:        t,
		dataCentres: make(map[fleet.DataCentre]DataCentre, len(t.DataCentres)),
		teams:       make(map[fleet.Team]Team, len(t.Teams)),
		root:        t.Values.overlayOn(DefaultValues()),
		locations:   make(map[locationKey]*Resolved),
		services:    make(map[serviceKey]*Resolved),
		jobClasses:  make(map[jobClassKey]*Resolved),
	}
	for name, dc := range t.DataCentres {
		s.dataCentres[name] = *dc
	}
	for name, team := range t.Teams {
		s.teams[name] = *team
	}
	for name, org := range t.Organisations {
		s.addOrganisation(name, org)
	}
	return s
}

func (s *snapshot) addOrganisation(name fleet.Organisation, org *Organisation) {
	values := org.Values.overlayOn(s.root)
	s.addLocation(locationKey{organisation: name}, values, &org.Leaves, &Leaves{})
	for dc, location := range org.DataCentres {
		s.addLocation(locationKey{name, dc}, location.Values.overlayOn(values), &org.Leaves, &location.Leaves)
	}
}

// addLocation adds the values of a location and of each leaf that the
// organisation (above) or the location (own) has.
func (s *snapshot) addLocation(key locationKey, values Resolved, above, own *Leaves) {
	s.locations[key] = &values
	for name := range union(above.Services, own.Services) {
		resolved := overlay(own.Services[name], overlay(above.Services[name], values))
		s.services[serviceKey{key, name}] = &resolved
	}
	for name := range union(above.JobClasses, own.JobClasses) {
		resolved := overlay(own.JobClasses[name], overlay(above.JobClasses[name], values))
		s.jobClasses[jobClassKey{key, name}] = &resolved
	}
}

func union[K comparable, V any](a, b map[K]V) map[K]V {
	both := maps.Clone(a)
	if both == nil {
		return b
	}
	maps.Copy(both, b)
	return both
}

func overlay(v *Values, base Resolved) Resolved {
	if v == nil {
		return base
	}
	return v.overlayOn(base)
}

// Revision implements Snapshot.
func (s *snapshot) Revision() store.Revision { return s.revision }

// DataCentres implements Snapshot. The caller gets a copy.
func (s *snapshot) DataCentres() map[fleet.DataCentre]DataCentre { return maps.Clone(s.dataCentres) }

// Teams implements Snapshot. The caller gets a copy.
func (s *snapshot) Teams() map[fleet.Team]Team { return maps.Clone(s.teams) }

// Service implements Snapshot.
func (s *snapshot) Service(org fleet.Organisation, dc fleet.DataCentre, service fleet.Service) Resolved {
	if r, ok := s.services[serviceKey{locationKey{org, dc}, service}]; ok {
		return *r
	}
	key := s.nearest(org, dc)
	if r, ok := s.services[serviceKey{key, service}]; ok {
		return *r
	}
	return s.location(key)
}

// JobClass implements Snapshot.
func (s *snapshot) JobClass(org fleet.Organisation, dc fleet.DataCentre, class fleet.JobClass) Resolved {
	if r, ok := s.jobClasses[jobClassKey{locationKey{org, dc}, class}]; ok {
		return *r
	}
	key := s.nearest(org, dc)
	if r, ok := s.jobClasses[jobClassKey{key, class}]; ok {
		return *r
	}
	return s.location(key)
}

// nearest returns the key of an organisation's level for a data centre, or the
// key of the organisation itself if it has no such level.
func (s *snapshot) nearest(org fleet.Organisation, dc fleet.DataCentre) locationKey {
	key := locationKey{org, dc}
	if _, ok := s.locations[key]; ok {
		return key
	}
	return locationKey{organisation: org}
}

func (s *snapshot) location(key locationKey) Resolved {
	if r, ok := s.locations[key]; ok {
		return *r
	}
	return s.root
}

// TreeOf returns the tree of a snapshot that was created by NewSnapshot, or an
// empty tree for any other implementation. The caller must not change it.
func TreeOf(s Snapshot) *Tree {
	if own, ok := s.(*snapshot); ok {
		return own.tree
	}
	return DefaultTree()
}
