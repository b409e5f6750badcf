package shard_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/member"
	"github.com/fuchsiahill/fuchsiahill/shard"
)

// TestMain gives the property tests a fixed seed and number of runs. Flags of the
// command line take precedence.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "12", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var modelHosts = []fleet.HostID{"h1", "h2", "h3"}

var modelTiming = shard.Timing{
	DecisionInterval:     500 * time.Millisecond,
	HandoverDelay:        10 * time.Second,
	FrontTakeoverTimeout: 90 * time.Second,
	FrontClockMargin:     20 * time.Second,
	RenewInterval:        10 * time.Second,
}

// modelStep is one fault or repair and the time until the next step.
type modelStep struct {
	name  string
	host  fleet.HostID
	pause time.Duration
}

var modelFaults = map[string]func(c *cluster, id fleet.HostID){
	"stop": func(c *cluster, id fleet.HostID) {
		if c.running[id] != nil {
			c.stop(id)
		}
	},
	"kill": func(c *cluster, id fleet.HostID) {
		if c.running[id] != nil {
			c.kill(id)
		}
	},
	"kill and report": func(c *cluster, id fleet.HostID) {
		if c.running[id] != nil {
			c.reportGone(c.kill(id))
		}
	},
	"start": func(c *cluster, id fleet.HostID) {
		if c.running[id] == nil {
			c.start(id)
		}
	},
	"cut":          onLink(func(l *storeLink) { l.down = true }),
	"slow writes":  onLink(func(l *storeLink) { l.delay = 25 * time.Second }),
	"repair":       onLink(func(l *storeLink) { l.down, l.applyLate, l.dropEvents, l.loseReplies, l.delay = false, 0, false, 0, 0 }),
	"lose replies": onLink(func(l *storeLink) { l.loseReplies = 3 }),
	"late writes":  onLink(func(l *storeLink) { l.applyLate = 7 * time.Second }),
	"deaf":         onLink(func(l *storeLink) { l.dropEvents = true }),
	"store down":   func(c *cluster, _ fleet.HostID) { c.store.SetFaults(standin.StoreFaults{Down: true}) },
	"store slow":   func(c *cluster, _ fleet.HostID) { c.store.SetFaults(standin.StoreFaults{Delay: time.Second}) },
	"store up":     func(c *cluster, _ fleet.HostID) { c.store.SetFaults(standin.StoreFaults{}) },
	"leases lapse": func(c *cluster, _ fleet.HostID) { c.store.ExpireAllLeases() },
}

func onLink(change func(*storeLink)) func(*cluster, fleet.HostID) {
	return func(c *cluster, id fleet.HostID) {
		if p := c.running[id]; p != nil {
			p.link.set(change)
		}
	}
}

// TestOwnershipModel draws random faults of hosts, links and the store. At no time
// may two hosts send for the same front or two runners of a shard have the same
// epoch. After all faults are repaired, every shard must have one runner.
func TestOwnershipModel(t *testing.T) {
	names := make([]string, 0, len(modelFaults))
	for name := range modelFaults {
		names = append(names, name)
	}
	slices.Sort(names)
	step := rapid.Custom(func(rt *rapid.T) modelStep {
		return modelStep{
			name:  rapid.SampledFrom(names).Draw(rt, "fault"),
			host:  rapid.SampledFrom(modelHosts).Draw(rt, "host"),
			pause: time.Duration(rapid.IntRange(1, 120).Draw(rt, "pause")) * 250 * time.Millisecond,
		}
	})
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(step, 4, 16).Draw(rt, "steps")
		var failures []string
		synctest.Test(t, func(t *testing.T) { failures = runModel(t, steps) })
		if len(failures) > 0 {
			rt.Fatal(failures)
		}
	})
}

// runModel applies the steps to a new cluster, repairs all faults and returns the
// violations.
func runModel(t *testing.T, steps []modelStep) []string {
	c := newCluster(t, someShards...)
	c.timing = modelTiming
	for _, id := range modelHosts {
		c.start(id)
	}
	c.runFor(member.LeaseTTL + 5*time.Second)
	for _, s := range steps {
		modelFaults[s.name](c, s.host)
		c.runFor(s.pause)
	}
	modelFaults["store up"](c, "")
	for _, id := range modelHosts {
		modelFaults["repair"](c, id)
		modelFaults["start"](c, id)
	}
	// Delayed writes take up to 25 s to reach the store.
	c.runFor(25 * time.Second)
	c.runFor(2*member.LeaseTTL + modelTiming.HandoverDelay + maxRequestDuration + 10*time.Second)
	failures := append(c.violations, c.ownershipFailures()...)
	c.violations = nil
	c.stopAll()
	return append(failures, c.violations...)
}

// ownershipFailures describes the shards that are not run by exactly one running
// process, and the fronts that do not have exactly one sender.
func (c *cluster) ownershipFailures() []string {
	var failures []string
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range c.shards {
		running := 0
		for _, p := range c.running {
			for o := range c.runs[id] {
				if o.Host == p.self.ID && o.Incarnation == p.self.Incarnation {
					running++
				}
			}
		}
		senders := c.senders(id)
		if running != 1 || id.Kind() == shard.KindFront && len(senders) != 1 {
			failures = append(failures, fmt.Sprintf("%s has %d runners, senders %v", id, running, senders))
		}
	}
	return failures
}
