package node

import (
	"github.com/fuchsiahill/fuchsiahill/configsync"
	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/intake"
	"github.com/fuchsiahill/fuchsiahill/internal/steady"
	"github.com/fuchsiahill/fuchsiahill/platform"
	"github.com/fuchsiahill/fuchsiahill/store"
	"github.com/fuchsiahill/fuchsiahill/workload"
	"github.com/fuchsiahill/fuchsiahill/workspace"
)

// activeConfig is the configuration in force with the revision of its key.
type activeConfig struct {
	*workload.Config
	directory *workspace.Directory
	revision  store.Revision
}

// readConfig decodes and checks the operators' configuration, and brings it into force. What
// is malformed of its workspaces is left out.
func (n *Node) readConfig(e store.Event) {
	cfg, problems, err := platform.DecodeConfig(e.Value)
	if err != nil {
		n.logger.Event("config_unreadable", "revision", e.Revision, "err", err)
		return
	}
	var invalid []error
	cfg.Workspaces, invalid = workspace.Check(cfg.Workspaces)
	problems = append(problems, invalid...)
	n.metrics.Set("config_problems", len(problems))
	for _, problem := range problems {
		n.logger.Event("config_entry_left_out", "version", cfg.Version, "revision", e.Revision, "err", problem)
	}
	n.Install(cfg, e.Revision)
}

// Install implements configsync.Holder. A host never goes back to an earlier configuration
// in its lifetime.
func (n *Node) Install(cfg *workload.Config, revision store.Revision) {
	n.configMu.Lock()
	defer n.configMu.Unlock()
	current := n.config.Load()
	if current != nil && revision == current.revision {
		return // another host has told it before the store
	}
	if current != nil && (revision < current.revision || cfg.Version < current.Version) {
		n.logger.Event("config_ignored", "version", cfg.Version, "revision", revision, "version_in_force", current.Version, "revision_in_force", current.revision)
		return
	}
	// A version without workspaces looks like one of a deployment that has none.
	if !cfg.KeysRequired && (n.settings.HasWorkspaces || current != nil && current.KeysRequired) {
		closed := *cfg
		closed.KeysRequired = true
		cfg = &closed
		n.logger.Event("config_without_workspaces", "version", cfg.Version, "revision", revision)
	}
	n.config.Store(&activeConfig{cfg, workspace.NewDirectory(cfg), revision})
	n.owner.SetConfig(cfg)
	n.logger.Event("config_in_force", "version", cfg.Version, "revision", revision, "queues", len(cfg.Queues))
	if cfg.KeysRequired {
		n.follower.Enable()
		n.logger.Event("workspaces_in_force", "version", cfg.Version, "workspaces", len(cfg.Workspaces))
	}
}

// Disconnected implements configsync.Holder.
func (n *Node) Disconnected() bool { return n.operator.Disconnected() }

// Snapshot implements configsync.Holder.
func (n *Node) Snapshot() (configsync.Snapshot, bool) {
	c := n.config.Load()
	if c == nil {
		return configsync.Snapshot{}, false
	}
	lastSync, _ := n.operator.LastSync()
	return configsync.Snapshot{Config: c.Config, Revision: c.revision, SyncedAt: max(lastSync, n.follower.LastContact())}, true
}

// directory returns the directory by which callers are told apart. The error is
// *intake.RefusedError: there is none, or it is outdated and the deployment fails closed.
func (n *Node) directory() (*workspace.Directory, error) {
	c := n.config.Load()
	if c == nil {
		return nil, &intake.RefusedError{Reason: "no configuration yet", RetryAfter: storeRetryAfter}
	}
	if s, _ := n.Snapshot(); n.settings.FailClosed && c.KeysRequired && configsync.IsOutdated(steady.Now(), s.SyncedAt, n.settings.ConfigDelay+n.settings.ConfigDelayStretch) {
		n.metrics.Count("config_outdated_refusals", 1)
		return nil, &intake.RefusedError{Reason: "the configuration may be outdated", RetryAfter: storeRetryAfter}
	}
	return c.directory, nil
}

// noteVersion follows up a version of the configuration that another host has.
func (n *Node) noteVersion(version int64) {
	if c := n.config.Load(); c != nil && version > c.Version {
		n.follower.Wake()
	}
}

// configHosts returns the hosts that may have a newer configuration: the owner's, then the
// seeds. The peer port is the same on all hosts.
func (n *Node) configHosts() []fleet.HostID {
	var hosts []fleet.HostID
	if claim, ok := n.owner.LastClaim(); ok && claim.Peer != "" && claim.Host != n.settings.Host {
		hosts = append(hosts, claim.Host)
	}
	for _, address := range n.settings.SeedPeers {
		if address != n.settings.PeerAddress {
			hosts = append(hosts, n.seeds.host(address))
		}
	}
	return hosts
}
