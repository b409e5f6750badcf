// Package workspace tells to which workspace a caller belongs. It answers who calls, and
// nothing else: caps and shares are decided in package dispatch.
package workspace

import (
	"errors"
	"fmt"

	"github.com/fuchsiahill/fuchsiahill/workload"
)

// Reason is why a caller is not let in.
type Reason string

// Reasons of an UnauthorizedError.
const (
	ReasonNoKey      Reason = "no_key"
	ReasonSeveral    Reason = "several_keys"
	ReasonUnknownKey Reason = "unknown_key"
	// ReasonRemovedKey is the reason if the key was valid when the request was received.
	ReasonRemovedKey Reason = "removed_key"
)

// UnauthorizedError reports a request that was not carried out as its caller has no valid
// key. It contains no key.
type UnauthorizedError struct {
	Reason  Reason
	Version int64 // of the configuration that decided
}

func (e *UnauthorizedError) Error() string {
	return fmt.Sprintf("workspace: no valid key (%s, configuration %d)", e.Reason, e.Version)
}

// Credential is what a request carries to tell who sent it.
type Credential struct {
	Keys   int                // number of keys
	Digest workload.KeyDigest // of the first one
}

// NewCredential returns the credential of a request that carries keys.
func NewCredential(keys []string) Credential {
	c := Credential{Keys: len(keys)}
	if c.Keys > 0 {
		c.Digest = workload.DigestKey(keys[0])
	}
	return c
}

// Caller is a caller whose credential has been checked.
type Caller struct {
	// Workspace is empty if the queue asked for no key. Such callers are not told apart.
	Workspace  string
	Credential Credential
	// Version is that of the configuration that the credential was checked against; 0: one
	// without workspaces.
	Version int64
}

// MayUse reports whether the caller may read and cancel the jobs of a workspace. Jobs
// without one were submitted to a queue that asked for no key.
func (c Caller) MayUse(workspace string) bool {
	return c.Workspace == "" || workspace == "" || c.Workspace == workspace
}

// Directory holds the keys of one version of the configuration. It is immutable.
type Directory struct {
	version      int64
	keysRequired bool
	public       map[string]bool // by queue; others need a key
	workspaces   map[workload.KeyDigest]string
}

// NewDirectory returns the directory of a configuration whose workspaces have been checked.
func NewDirectory(cfg *workload.Config) *Directory {
	d := &Directory{
		version: cfg.Version, keysRequired: cfg.KeysRequired,
		public: make(map[string]bool), workspaces: make(map[workload.KeyDigest]string),
	}
	for _, q := range cfg.Queues {
		others, listed := d.public[q.Name]
		d.public[q.Name] = q.Public && (others || !listed)
	}
	for _, w := range cfg.Workspaces {
		for _, key := range w.Keys {
			d.workspaces[key] = w.Name
		}
	}
	return d
}

// Identify returns the caller of a request to a queue. The error is *UnauthorizedError. A
// key on a public queue is not looked at: callers there need none, and a job's owner must
// not depend on whether its caller sends one.
func (d *Directory) Identify(queue string, c Credential) (Caller, error) {
	if !d.keysRequired {
		return Caller{Credential: c}, nil
	}
	caller := Caller{Credential: c, Version: d.version}
	if d.public[queue] {
		return caller, nil
	}
	switch {
	case c.Keys == 0:
		return Caller{}, &UnauthorizedError{Reason: ReasonNoKey, Version: d.version}
	case c.Keys > 1:
		return Caller{}, &UnauthorizedError{Reason: ReasonSeveral, Version: d.version}
	}
	name, ok := d.workspaces[c.Digest]
	if !ok {
		return Caller{}, &UnauthorizedError{Reason: ReasonUnknownKey, Version: d.version}
	}
	caller.Workspace = name
	return caller, nil
}

// Confirm checks a caller again who was identified before, on this host or on another one.
// The later version of the configuration decides. The error is *UnauthorizedError.
func (d *Directory) Confirm(queue string, caller Caller) (Caller, error) {
	if caller.Version > d.version {
		return caller, nil
	}
	confirmed, err := d.Identify(queue, caller.Credential)
	var unauthorized *UnauthorizedError
	if errors.As(err, &unauthorized) && unauthorized.Reason == ReasonUnknownKey {
		unauthorized.Reason = ReasonRemovedKey
	}
	return confirmed, err
}
