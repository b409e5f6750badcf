package dispatch

import "time"

// servingWaitsInterval is how often the log says why serving tasks don't run.
const servingWaitsInterval = time.Second

// recordServingWaits emits how many serving tasks wait that are ready to start, by what each
// one waits for, with the first one of each: the takeover, a run that a former owner may have
// left on another worker, the delay after a change of owner, or room.
func (m *Machine) recordServingWaits(now time.Duration) {
	if now-m.servingWaitsReportedAt < servingWaitsInterval {
		return
	}
	const takeover, formerRun, delay, room = "takeover", "former_run", "delay", "room"
	counts, first := make(map[string]int), make(map[string]string)
	adopted, mayPlace := m.allAdopted(now), m.mayPlaceServing(now)
	for _, j := range m.jobs {
		if j.state.Final() {
			continue
		}
		for t, count := range j.servingTasksWaiting() {
			cause := room
			switch {
			case j.inherited && !adopted:
				cause = takeover
			case m.mayRunElsewhere(t, now):
				cause = formerRun
			case !mayPlace:
				cause = delay
			}
			if name := t.name.String(); counts[cause] == 0 || name < first[cause] {
				first[cause] = name
			}
			counts[cause] += count
		}
	}
	if len(counts) == 0 {
		return
	}
	m.servingWaitsReportedAt = now
	var keyvals []any
	for _, cause := range []string{takeover, formerRun, delay, room} {
		keyvals = append(keyvals, cause, counts[cause], "first_for_"+cause, first[cause])
	}
	m.emit("serving_waits", "", keyvals...)
}
