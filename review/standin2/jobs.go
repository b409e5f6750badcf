package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// step is a step of a job as handed in.
type step struct {
	Count       int   `json:"count"`
	CPU         int64 `json:"cpu"`
	MemMB       int64 `json:"mem_mb"`
	EstimateMS  int64 `json:"estimate_ms,omitempty"`
	After       []int `json:"after,omitempty"`
	LongRunning bool  `json:"long_running,omitempty"`
	TargetMS    int64 `json:"target_ms,omitempty"`

	duration time.Duration        // of each run; 0: it lasts
	outcome  func(run int) string // how a run ends; nil: done
}

// job is a job that a client hands in.
type job struct {
	id, prefix, spec string
	steps            []step
	tasks            map[string]*task
	acceptedAt       time.Time
	startsTotal      int
}

// task is one task of a job, with what the minions have seen of it.
type task struct {
	job      *job
	name     string
	need     resources
	duration time.Duration
	ends     func(run int) string

	running    int
	starts     int
	done       bool
	doneSeen   bool
	failed     int // runs that ended failed
	failedSeen int // of these, the ends taken note of
	lost       int // runs lost with their minion
}

// outcome returns how a run ends.
func (t *task) outcome(run int) string {
	if t.ends == nil {
		return "done"
	}
	return t.ends(run)
}

// newJob registers a job before it is handed in.
func (s *site) newJob(number int, prefix string, steps ...step) *job {
	j := &job{id: fmt.Sprintf("%016x", 0xabc000000000+number), prefix: prefix, spec: fmt.Sprintf("work %d", number), steps: steps, tasks: make(map[string]*task)}
	for i, st := range steps {
		for x := range st.Count {
			name := fmt.Sprintf("%s.0.%d.%d", j.id, i, x)
			j.tasks[name] = &task{job: j, name: name, need: resources{CPU: st.CPU, MemMB: st.MemMB}, duration: st.duration, ends: st.outcome}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobs[j.id] = j
	return j
}

// runStarted records a start, and returns its task, or nil if nobody has handed it in.
func (s *site) runStarted(m *minion, c call) *task {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range s.jobs {
		t, ok := j.tasks[c.Task]
		if !ok {
			continue
		}
		if c.Spec != j.spec {
			s.brokenLocked("UNASKED", "%s run %d on %s with another spec", c.Task, c.Run, m.id)
		}
		if t.running > 0 {
			s.brokenLocked("TWICE", "%s run %d on %s during another run", c.Task, c.Run, m.id)
		}
		t.running++
		t.starts++
		j.startsTotal++
		s.recordLocked("start %s run %d on %s token %d", c.Task, c.Run, m.id, c.Token)
		return t
	}
	s.brokenLocked("UNASKED", "%s run %d on %s", c.Task, c.Run, m.id)
	return nil
}

// startsOf returns how many runs of a job have begun.
func (s *site) startsOf(j *job) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return j.startsTotal
}

// runEnded records the end of a run.
func (s *site) runEnded(m *minion, r *taskRun, how string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.task.running--
	switch how {
	case "done":
		r.task.done = true
	case "failed":
		r.task.failed++
	}
	s.recordLocked("end %s run %d on %s: %s", r.task.name, r.run, m.id, how)
}

// runLost records that a run is gone with its minion.
func (s *site) runLost(m *minion, r *taskRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.task.running--
	r.task.lost++
	s.recordLocked("lost %s run %d with %s, %v after its start", r.task.name, r.run, m.id, time.Since(r.started).Round(time.Millisecond))
}

// endSeen records that an end was taken note of.
func (s *site) endSeen(_ *minion, e taskEnd) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch e.how {
	case "done":
		e.task.doneSeen = true
	case "failed":
		e.task.failedSeen++
	}
	s.recordLocked("taken note of %s run %d: %s", e.task.name, e.run, e.how)
}

var client = &http.Client{Timeout: 3 * time.Second}

// ask sends a request to a host. A status of 0 means that there was no answer.
func (s *site) ask(h *host, method, path string, body []byte) (int, []byte) {
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+h.callers+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = callersHost
	req.Header.Set("Fuchsiahill-Deadline-Ms", "3000")
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

// submit hands a job in, four times at most, and reports whether it was accepted.
func (s *site) submit(h *host, j *job) bool {
	body, err := json.Marshal(map[string]any{"spec": j.spec, "steps": j.steps})
	if err != nil {
		return false
	}
	for range 4 {
		status, _ := s.ask(h, "POST", j.prefix+j.id, body)
		s.record("POST %s%s at %s -> %d", j.prefix, j.id, h.name, status)
		if status == http.StatusOK {
			s.mu.Lock()
			j.acceptedAt = time.Now()
			s.mu.Unlock()
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job; "" if it is not told.
func (s *site) state(h *host, j *job) string {
	status, body := s.ask(h, "GET", j.prefix+j.id, nil)
	var answer struct {
		State string `json:"state"`
	}
	if status == http.StatusOK {
		_ = json.Unmarshal(body, &answer) // an answer that can't be read tells no state
	}
	s.record("GET %s%s at %s -> %d %s", j.prefix, j.id, h.name, status, answer.State)
	return answer.State
}

// pending asks how many jobs of a queue have not begun; -1 if it is not told.
func (s *site) pending(h *host, prefix string) int {
	status, body := s.ask(h, "GET", prefix, nil)
	var answer struct {
		Pending *int `json:"pending"`
	}
	if status != http.StatusOK || json.Unmarshal(body, &answer) != nil || answer.Pending == nil {
		s.record("GET %s at %s -> %d", prefix, h.name, status)
		return -1
	}
	s.record("GET %s at %s -> %d, pending %d", prefix, h.name, status, *answer.Pending)
	return *answer.Pending
}
