package inventory

import "github.com/fuchsiahill/fuchsiahill/fleet"

// merge returns a list with changes applied to l.
func (l *HostList) merge(changes *HostList) *HostList {
	return &HostList{
		Version:    changes.Version,
		Workers:    upsert(l.Workers, changes.Workers, func(w Worker) fleet.WorkerID { return w.ID }),
		Servers:    upsert(l.Servers, changes.Servers, func(s Server) fleet.ServerID { return s.ID }),
		EntryHosts: upsert(l.EntryHosts, changes.EntryHosts, EntryHost.key),
	}
}

// entryHostKey identifies an entry host's entry. Each incarnation has an entry of
// its own.
type entryHostKey struct {
	id          fleet.HostID
	incarnation fleet.Incarnation
}

func (h EntryHost) key() entryHostKey { return entryHostKey{h.ID, h.Incarnation} }

// upsert returns old with each changed entry in place of the one with the same
// key, or appended if there is none.
func upsert[T any, K comparable](old, changed []T, key func(T) K) []T {
	if len(changed) == 0 {
		return old
	}
	merged := make([]T, len(old), len(old)+len(changed))
	copy(merged, old)
	index := make(map[K]int, len(old))
	for i, e := range old {
		index[key(e)] = i
	}
	for _, e := range changed {
		if i, ok := index[key(e)]; ok {
			merged[i] = e
			continue
		}
		index[key(e)] = len(merged)
		merged = append(merged, e)
	}
	return merged
}
