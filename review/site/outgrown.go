package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"time"
)

// valueBytes is the largest value that the store takes, `value_bytes` of the settings.
const valueBytes = 1 << 20

// limitValues has the hosts reach the store through a front that refuses transactions with
// a larger value than the store takes, as the project's own stand-in takes any. It returns
// a function that ends the front.
func (s *site) limitValues() (func(), error) {
	target, err := url.Parse("http://" + s.store.Address())
	if err != nil {
		return nil, err
	}
	next := httputil.NewSingleHostReverseProxy(target)
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/kv-txn" {
			next.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return // the caller has gone
		}
		var txn struct {
			Writes []struct {
				Key   string `json:"key"`
				Value []byte `json:"value"`
			} `json:"writes"`
		}
		if err := json.Unmarshal(body, &txn); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		for _, write := range txn.Writes {
			if len(write.Value) > valueBytes {
				s.log.add("store refuses a transaction of %d writes: %s has %d bytes", len(txn.Writes), write.Key, len(write.Value))
				w.WriteHeader(http.StatusBadRequest)
				return
			}
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	}))
	s.storeFront = strings.TrimPrefix(front.URL, "http://")
	return front.Close, nil
}

// playOutgrown hands in a timed job with so many tasks that its progress outgrows a value of
// the store, and small jobs beside it.
func playOutgrown(_ context.Context, s *site, trouble bool) error {
	const (
		prefix   = "/lohu930/"
		large    = "5c0e7a21d94b0001"
		tasks    = 100
		interval = 100 * time.Millisecond
		grows    = 40 * time.Second // until the progress of all occurrences is stored, if it can be
		ackTime  = 4 * time.Second  // `ack_ms` of the sites
		small    = 10
		taskCPU  = 200 // thousandths of a core
	)
	repeats := 400
	if !trouble {
		repeats = 100
	}
	closeFront, err := s.limitValues()
	if err != nil {
		return err
	}
	defer closeFront()
	behave := func(string, int) (time.Duration, string) { return 50 * time.Millisecond, "done" }
	for i := range 10 {
		if _, err := s.addMinion(fmt.Sprintf("i-7f3a91c%x", i), "reclaim-engine", "r1-1", 16000, 64000, behave); err != nil {
			return err
		}
	}
	if err := s.configure(1, []string{"reclaim-engine"}, route{name: "claims", prefix: prefix, service: "reclaim-engine", maxAttempts: 4}); err != nil {
		return err
	}
	if err := s.addHosts(); err != nil {
		return err
	}
	if err := s.pause(2 * time.Second); err != nil {
		return err
	}
	step := []map[string]any{{"count": tasks, "cpu": taskCPU, "mem_mb": 64, "estimate_ms": 50}}
	job := map[string]any{"spec": "a", "repeats": repeats, "first_run_ms": time.Now().UnixMilli(), "interval_ms": interval.Milliseconds(), "steps": step}
	if err := s.submit(prefix, large, job); err != nil {
		return err
	}
	if err := s.pause(grows); err != nil {
		return err
	}
	var ids []string
	step[0]["count"] = 1
	for i := range small {
		id := fmt.Sprintf("5c0e7a21d94c%04x", i)
		if err := s.submit(prefix, id, map[string]any{"spec": "b", "steps": step}); err != nil {
			return err
		}
		ids = append(ids, id)
	}
	peak, err := s.peakUse(ackTime+finishTime, taskCPU)
	if err != nil {
		return err
	}
	capacity := int64(len(s.minions)) * s.minions[0].cpu
	s.log.add("at most %d of %d thousandths of a core in use since", peak, capacity)
	for _, id := range ids {
		state, status := s.state(prefix, id)
		runs := s.runs.of(id + ".0.0.0")
		s.log.add("GET %s%s: %d %s, %d runs of its task", prefix, id, status, state, len(runs))
		if len(runs) == 0 && 2*peak < capacity {
			s.log.breakRule("LOST: job %s is %q and its only task has not been started for %v, with under half of the capacity in use all the while", id, state, ackTime+finishTime)
		}
	}
	all, late := s.runs.unnotedFor(ackTime)
	s.log.add("%d ends, %d of them not taken note of for over %v", all, late, ackTime)
	if 5*late > all {
		s.log.breakRule("Acks: %d of %d ends that minions have listed for over %v are not taken note of, with the store sound and no link disrupted", late, all, ackTime)
	}
	return nil
}

// peakUse returns the most capacity that runs of the given size take on all minions during d.
func (s *site) peakUse(d time.Duration, taskCPU int64) (int64, error) {
	peak := int64(0)
	for end := time.Now().Add(d); time.Now().Before(end); {
		use := int64(0)
		for _, m := range s.minions {
			m.mu.Lock()
			use += int64(len(m.running)) * taskCPU
			m.mu.Unlock()
		}
		peak = max(peak, use)
		if err := s.pause(20 * time.Millisecond); err != nil {
			return 0, err
		}
	}
	return peak, nil
}

// unnotedFor returns the number of ends that minions have listed for at least d, and how
// many of these nobody has taken note of.
func (l *runLog) unnotedFor(d time.Duration) (all, late int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, facts := range l.tasks {
		for _, f := range facts {
			if f.how == "" || time.Since(f.endAt) < d {
				continue
			}
			all++
			if !f.noted {
				late++
			}
		}
	}
	return all, late
}
