package owner

import (
	"fmt"
	"slices"

	"github.com/fuchsiahill/fuchsiahill/dispatch"
	"github.com/fuchsiahill/fuchsiahill/intake"
)

// WorkspaceLoads returns the load to publish for the workspaces.
func WorkspaceLoads(backlogs map[string]dispatch.WorkspaceBacklog) map[string]intake.WorkspaceLoad {
	if len(backlogs) == 0 {
		return nil
	}
	loads := make(map[string]intake.WorkspaceLoad, len(backlogs))
	for name, b := range backlogs {
		l := intake.WorkspaceLoad{Throughput: b.Throughput, CapHolds: b.CapHolds}
		if b.AdmitShare < 1 {
			l.AdmitShare = b.AdmitShare
		}
		for _, p := range b.Backlog {
			l.Backlog = append(l.Backlog, intake.RankBacklog{Rank: p.Rank, Work: p.Work})
		}
		loads[name] = l
	}
	return loads
}

// reportWorkspaces sets the metrics of the workspaces with waiting work, whose number
// dispatch.Machine.WorkspaceBacklogs bounds, and drops those of others.
func (d *dispatcher) reportWorkspaces(backlogs map[string]dispatch.WorkspaceBacklog) {
	var set []string
	gauge := func(name, workspace string, value int) {
		name = fmt.Sprintf("%s{workspace=%q}", name, workspace)
		d.deps.Metrics.Set(name, value)
		set = append(set, name)
	}
	for workspace, b := range backlogs {
		gauge("workspace_running_millicores", workspace, int(b.Running.MilliCores))
		gauge("workspace_running_memory_mb", workspace, int(b.Running.MemoryMB))
		waiting := 0.0
		if n := len(b.Backlog); n > 0 {
			waiting = b.Backlog[n-1].Work
		}
		gauge("workspace_waiting_core_seconds", workspace, int(waiting))
		gauge("workspace_admitted_percent", workspace, int(100*b.AdmitShare))
	}
	for _, name := range d.workspaceGauges {
		if !slices.Contains(set, name) {
			d.deps.Metrics.Drop(name)
		}
	}
	d.workspaceGauges = set
}
