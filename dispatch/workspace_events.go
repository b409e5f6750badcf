package dispatch

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Reasons for which a job of a workspace waits, for the log.
const (
	waitsForCap    = "over its workspace's cap"
	waitsForShares = "behind workspaces with a larger share owed"
)

// maxLoggedWorkspaces bounds the workspaces that are logged each second, those with the most
// jobs waiting.
const maxLoggedWorkspaces = 8

// workspaceWaits counts the jobs of a workspace that wait.
type workspaceWaits struct {
	name                    string
	overCap, behind, others int
}

func (w workspaceWaits) total() int { return w.overCap + w.behind + w.others }

// recordWorkspaceWaits emits why jobs of workspaces still wait after a plan: once for each job
// and reason, and each second for each workspace.
func (m *Machine) recordWorkspaceWaits(jobs []*job, p *placer, now time.Duration) {
	if p.shares == nil {
		return
	}
	waits := make(map[string]*workspaceWaits)
	for _, j := range jobs {
		if j.Workspace == "" || !j.hasWaiting() {
			continue
		}
		w := waits[j.Workspace]
		if w == nil {
			w = &workspaceWaits{name: j.Workspace}
			waits[j.Workspace] = w
		}
		switch {
		case j.heldByCap:
			w.overCap++
			m.recordHold(j, waitsForCap, p, now)
		case j.behindShares:
			w.behind++
			m.recordHold(j, waitsForShares, p, now)
		default:
			w.others++
		}
	}
	if len(waits) == 0 || now-m.workspacesReportedAt < utilisationInterval {
		return
	}
	m.workspacesReportedAt = now
	list := make([]*workspaceWaits, 0, len(waits))
	for _, w := range waits {
		list = append(list, w)
	}
	slices.SortFunc(list, func(a, b *workspaceWaits) int {
		return cmp.Or(cmp.Compare(b.total(), a.total()), strings.Compare(a.name, b.name))
	})
	for _, w := range list[:min(len(list), maxLoggedWorkspaces)] {
		m.emit("workspace_waits", "", append([]any{"over_cap", w.overCap, "behind_shares", w.behind, "other_jobs", w.others}, m.capKeyvals(w.name, p)...)...)
	}
}

// recordHold emits why a job waits, once for each reason.
func (m *Machine) recordHold(j *job, why string, p *placer, now time.Duration) {
	if slices.Contains(j.reportedHolds, why) {
		return
	}
	j.reportedHolds = append(j.reportedHolds, why)
	m.emit("job_held", j.ID, append([]any{"why", why, "queue", j.Queue, "age", now - j.arrivedAt, "waiting", j.waitingTasks()}, m.capKeyvals(j.Workspace, p)...)...)
}

// capKeyvals returns a workspace with its cap and what counts against it, as log keys and
// values.
func (m *Machine) capKeyvals(name string, p *placer) []any {
	keyvals := []any{"workspace", name, "config_version", m.config.Version}
	limit := p.shares.limits[name]
	if limit == nil {
		return keyvals // no longer configured
	}
	used := m.workspaceUsed[name]
	return append(keyvals, "cap_millicores", limit.cap.MilliCores, "cap_memory_mb", limit.cap.MemoryMB, "cap_accelerators", limit.cap.Accelerators,
		"used_millicores", used.MilliCores, "used_memory_mb", used.MemoryMB, "used_accelerators", used.Accelerators,
		"inherited_millicores", limit.stored.MilliCores, "unseen_millicores", p.shares.unseen.MilliCores)
}
