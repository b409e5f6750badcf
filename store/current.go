package store

import (
	"cmp"
	"slices"
)

// currentState converts entries to events in order of revision.
func currentState(entries []Entry) []Event {
	events := make([]Event, 0, len(entries))
	for _, e := range entries {
		events = append(events, Event{Entry: e})
	}
	slices.SortFunc(events, func(a, b Event) int { return cmp.Compare(a.Revision, b.Revision) })
	return events
}
