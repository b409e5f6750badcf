package api

import (
	"cmp"
	"net/http"
	"slices"

	"github.com/gorilla/mux"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/member"
	"github.com/fuchsiahill/fuchsiahill/settings"
	"github.com/fuchsiahill/fuchsiahill/shard"
)

func (h *handler) routeFleet(r *mux.Router) {
	r.Handle("/v1/hosts", h.authenticated(h.listHosts)).Methods(http.MethodGet)
	r.Handle("/v1/shards", h.authenticated(h.listShards)).Methods(http.MethodGet)
	r.Handle("/v1/services", h.authenticated(h.listServices)).Methods(http.MethodGet)
	r.Handle("/v1/status", h.authenticated(h.status)).Methods(http.MethodGet)
}

func (h *handler) listHosts(r *http.Request) (any, error) {
	if err := requireRead(r); err != nil {
		return nil, err
	}
	return Hosts{Hosts: h.hosts(h.shards())}, nil
}

func (h *handler) listShards(r *http.Request) (any, error) {
	if err := requireRead(r); err != nil {
		return nil, err
	}
	return Shards{Shards: h.shards()}, nil
}

func (h *handler) shards() []Shard {
	shards := slices.Clone(h.Shards.Shards())
	slices.SortFunc(shards, func(a, b Shard) int { return cmp.Compare(a.ID, b.ID) })
	return shards
}

func (h *handler) hosts(shards []Shard) []Host {
	held := make(map[shard.Owner]int)
	for _, s := range shards {
		if s.Owner != nil {
			held[shard.Owner{Host: s.Owner.Host, Incarnation: s.Owner.Incarnation}]++
		}
	}
	hosts := []Host{}
	for _, m := range h.Members.Hosts() {
		host := h.host(m)
		host.Shards = held[shard.Owner{Host: m.ID, Incarnation: m.Incarnation}]
		hosts = append(hosts, host)
	}
	return hosts
}

func (h *handler) host(m member.Host) Host {
	host := Host{Host: m, Settings: h.revisionOf(m)}
	summary, ok := h.Members.Summary(m.ID)
	if !ok || summary.Incarnation != m.Incarnation {
		return host
	}
	host.Known = true
	host.StoreOK = summary.StoreOK
	host.Draining = summary.Draining
	host.Cells = len(summary.Cells)
	for _, s := range summary.Services {
		host.Slots += s.Slots
		host.Free += s.Free
		host.Waiting += s.Waiting
	}
	for _, c := range summary.Cells {
		host.Tasks += c.Waiting
	}
	return host
}

func (h *handler) listServices(r *http.Request) (any, error) {
	if err := requireRead(r); err != nil {
		return nil, err
	}
	return Services{Services: h.services()}, nil
}

func (h *handler) services() []Service {
	byName := make(map[fleet.Service]*Service)
	for _, m := range h.Members.Hosts() {
		summary, ok := h.Members.Summary(m.ID)
		if !ok || summary.Incarnation != m.Incarnation {
			continue
		}
		for name, load := range summary.Services {
			s := byName[name]
			if s == nil {
				s = &Service{Name: name}
				byName[name] = s
			}
			s.add(load)
		}
	}
	services := []Service{}
	for _, s := range byName {
		services = append(services, *s)
	}
	slices.SortFunc(services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	return services
}

func (s *Service) add(load member.ServiceLoad) {
	if load.Slots > 0 {
		s.Hosts++
	}
	s.Slots += load.Slots
	s.Free += load.Free
	s.Waiting += load.Waiting
}

func (h *handler) status(r *http.Request) (any, error) {
	if err := requireRead(r); err != nil {
		return nil, err
	}
	confirmed := h.View.ConfirmedAt()
	current := h.View.Current()
	shards := h.shards()
	ready, reason := h.readiness()
	return Status{
		Host:        h.Self,
		Ready:       ready,
		Reason:      reason,
		Revision:    current.Revision(),
		ConfirmedAt: confirmed,
		Hosts:       h.hosts(shards),
		DataCentres: dataCentres(current),
		Unowned:     countUnowned(shards),
	}, nil
}

func countUnowned(shards []Shard) int {
	n := 0
	for _, s := range shards {
		if s.Owner == nil {
			n++
		}
	}
	return n
}

func dataCentres(current settings.Snapshot) []DataCentre {
	list := []DataCentre{}
	for name, dc := range current.DataCentres() {
		list = append(list, DataCentre{Name: name, DataCentre: dc})
	}
	slices.SortFunc(list, func(a, b DataCentre) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
