package wire

import (
	"net/http"
	"sync"
	"time"
)

// Tenant is a tenant of the operators' configuration.
type Tenant struct {
	Name    string   `json:"name"`
	APIKeys []string `json:"api_keys"`
	Weight  float64  `json:"weight"`
}

// Keys judges answers by the keys that the versions of the configuration hold. It is safe
// for concurrent use.
type Keys struct {
	checker *Checker
	mu      sync.Mutex
	// versions are in order. One may be in force from its sending on; the one before it no
	// longer, on hosts in touch, after a bound from its acknowledgement.
	versions []keyVersion
}

type keyVersion struct {
	sent, acknowledged time.Time
	tenants            map[string]string // by key
}

// NewKeys returns a judge that records violations in a checker.
func NewKeys(checker *Checker) *Keys { return &Keys{checker: checker} }

// Send records that a version with tenants is being written, and returns a function that
// records its acknowledgement.
func (k *Keys) Send(tenants []Tenant) (acknowledge func()) {
	held := make(map[string]string)
	for _, t := range tenants {
		for _, key := range t.APIKeys {
			held[key] = t.Name
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.versions = append(k.versions, keyVersion{sent: time.Now(), tenants: held})
	i := len(k.versions) - 1
	return func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.versions[i].acknowledged = time.Now()
	}
}

// Judge records a violation if no version that may have been in force allows an answer to a
// request with a key. A bound of 0 means that the host is not in touch: each version that
// has been sent may be in force there.
func (k *Keys) Judge(key string, sent, answered time.Time, status int, bound time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	held, lacked := false, false
	for i, v := range k.versions {
		replaced := i+1 < len(k.versions) && !k.versions[i+1].acknowledged.IsZero() && sent.Sub(k.versions[i+1].acknowledged) > bound
		if v.sent.After(answered) || bound > 0 && replaced {
			continue
		}
		_, ok := v.tenants[key]
		held, lacked = held || ok, lacked || !ok
	}
	success := status >= 200 && status < 300
	switch {
	case success && !held:
		k.checker.recordKeyViolation("a request ran whose key no configuration in force holds")
	case status == http.StatusUnauthorized && !lacked:
		k.checker.recordKeyViolation("a request was refused for its key, which each configuration in force holds")
	}
}

// RecordForeignState records that a tenant was shown the state of another tenant's job.
func (c *Checker) RecordForeignState(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation("ROUTE", "another tenant reads job %s", id)
}

func (c *Checker) recordKeyViolation(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation("CONFIG", "%s", what)
}
