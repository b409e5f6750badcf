package inventory

import "github.com/fuchsiahill/fuchsiahill/fleet"

// merge returns the list after the changes.
func (l *HostList) merge(changes *HostList) *HostList {
	return &HostList{
		Version:    changes.Version,
		Workers:    replace(l.Workers, changes.Workers, func(w Worker) fleet.WorkerID { return w.ID }),
		Servers:    replace(l.Servers, changes.Servers, func(s Server) fleet.ServerID { return s.ID }),
		EntryHosts: replace(l.EntryHosts, changes.EntryHosts, EntryHost.key),
	}
}

// entryKey names an entry of an entry host. Its incarnations have entries of
// their own.
type entryKey struct {
	id          fleet.HostID
	incarnation fleet.Incarnation
}

func (h EntryHost) key() entryKey { return entryKey{h.ID, h.Incarnation} }

// replace returns old with the changed entries in place of those with the
// same key, or at its end.
func replace[T any, K comparable](old, changed []T, key func(T) K) []T {
	if len(changed) == 0 {
		return old
	}
	next := make([]T, len(old), len(old)+len(changed))
	copy(next, old)
	at := make(map[K]int, len(old))
	for i, e := range old {
		at[key(e)] = i
	}
	for _, e := range changed {
		if i, ok := at[key(e)]; ok {
			next[i] = e
			continue
		}
		at[key(e)] = len(next)
		next = append(next, e)
	}
	return next
}
