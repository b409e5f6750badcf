package wire

import (
	"encoding/json"
	"net/netip"

	"github.com/fuchsiahill/fuchsiahill/workload"
)

// SettingsVariable is the environment variable with the path of a host's settings
// file.
const SettingsVariable = "FUCHSIAHILL_BOOT"

// Names of the only queue and service of the stand-in.
const (
	CallersHost   = "jobs.example"
	CallersPrefix = "/jobs/"
	serviceName   = "service-1"
)

// HostSettings are the contents of a host's settings file.
type HostSettings struct {
	Name                             string
	CallersAddress, ReadyAddress     string
	MetricsAddress, StoreAddress     string
	MemoryMB, GraceSeconds, LeaseTTL int            // MemoryMB in MB, GraceSeconds in s, LeaseTTL in ms
	MaxDescriptors                   int            // 0: unbounded
	JobBytes                         int64          // for accepted jobs; 0: by the memory
	PeerAddress                      netip.AddrPort // not valid: none
}

// Encode returns the settings file as JSON.
func (h HostSettings) Encode() ([]byte, error) {
	settings := map[string]any{
		"node": h.Name, "zone": "dc-1", "region": "region-1",
		"listen":   map[string]string{"front": h.CallersAddress, "ready": h.ReadyAddress, "control": h.MetricsAddress},
		"limits":   map[string]any{"cpu_share": 1, "cores": 1, "memory_mb": h.MemoryMB, "max_fds": h.MaxDescriptors},
		"bounds":   map[string]any{"hold_max_ms": MaxLease.Milliseconds(), "grace_s": h.GraceSeconds, "status_s": 120, "lease_ms": 3000, "stop_timeout_ms": stopDuration.Milliseconds()},
		"platform": map[string]any{"address": h.StoreAddress, "ttl_min_ms": h.LeaseTTL, "writes_per_s": writesPerSecond, "reads_per_s": readsPerSecond, "history_s": historyKept.Seconds(), "value_bytes": maxValueBytes},
	}
	if h.JobBytes > 0 {
		settings["clients"] = map[string]int64{"job_bytes": h.JobBytes}
	}
	if h.PeerAddress.IsValid() {
		settings["ip"], settings["port_range"] = h.PeerAddress.Addr(), []uint16{h.PeerAddress.Port()}
	}
	return json.Marshal(settings)
}

// Configure writes the operators' configuration: one queue of one service,
// whose tasks may fail maxFailures times, and tenants.
func (s *Store) Configure(version, maxFailures int, tenants []Tenant) error {
	return s.Put("op/config", map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "queue-1", "host": CallersHost, "prefix": CallersPrefix, "service": serviceName, "priority": 0,
			"max_attempts": maxFailures, "stretch": 2, "slo_ms": 1000,
		}},
		"services": []map[string]any{{"name": serviceName}},
		"limits":   map[string]any{"max_body_bytes": 262144},
		"tenants":  tenants,
	})
}

// MaxSpecBytes is the longest payload of a job, in bytes.
const MaxSpecBytes = 4000

// EncodeJob returns the request body that submits a job with a payload and steps.
func EncodeJob(payload string, steps []workload.Step) ([]byte, error) {
	type wireStep struct {
		Count      int   `json:"count"`
		CPU        int64 `json:"cpu"`
		MemMB      int64 `json:"mem_mb"`
		EstimateMS int64 `json:"estimate_ms"`
		After      []int `json:"after,omitempty"`
		Gang       bool  `json:"gang,omitempty"`
		SameRack   bool  `json:"same_rack,omitempty"`
	}
	list := make([]wireStep, len(steps))
	for i, s := range steps {
		list[i] = wireStep{s.Count, s.Need.MilliCores, s.Need.MemoryMB, s.EstimateMS, s.After, s.Gang, s.SameRack}
	}
	return json.Marshal(map[string]any{"spec": payload, "steps": list})
}
