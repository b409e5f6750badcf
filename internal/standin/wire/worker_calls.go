package wire

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/fuchsiahill/fuchsiahill/workload"
)

// maxReportedEnds is how many ends a report has room for, the oldest first.
const maxReportedEnds = 500

const (
	maxHoldWait = 2000 // ms
	maxPercent  = 100
)

type command struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec,omitempty"`
	Percent    int    `json:"percent,omitempty"`
	Ticket     string `json:"ticket,omitempty"`
	DeadlineMS int64  `json:"deadline_ms"`
	Token      int64  `json:"fencing_token"`
	LastSeen   int64  `json:"last_seen"`
	WaitMS     int64  `json:"wait_ms"`
}

// isValid reports whether a command has what its path asks for.
func (c command) isValid(path string) bool {
	if path == "/v1/hold" {
		return c.WaitMS >= 0 && c.WaitMS <= maxHoldWait
	}
	_, ok := workload.ParseTaskName(c.Task)
	return ok && c.Run >= 1 && len(c.Spec) <= MaxSpecBytes && c.Percent >= 0 && c.Percent <= maxPercent
}

// receive reads a command and locks w.mu. It returns false, without the lock, if
// the command can't be read or if the worker has crashed since it accepted the
// call, which then gets no reply.
func (w *Worker) receive(rw http.ResponseWriter, r *http.Request) (command, bool) {
	var cmd command
	if err := json.NewDecoder(r.Body).Decode(&cmd); err != nil || !cmd.isValid(r.URL.Path) {
		rw.WriteHeader(http.StatusBadRequest)
		return cmd, false
	}
	w.mu.Lock()
	if !w.up {
		w.mu.Unlock()
		loseResponse(r)
		return cmd, false
	}
	return cmd, true
}

// reply responds to a command, with the reason if it was refused. The caller
// holds w.mu.
func (w *Worker) reply(rw http.ResponseWriter, reason string) {
	body := map[string]any{"clock_ms": w.clockMS()}
	status := http.StatusOK
	if reason != "" {
		body["reason"], status = reason, http.StatusConflict
	}
	respond(rw, status, body)
}

// isFenced reports whether a command comes from a former owner, and otherwise
// stores its fencing token. The caller holds w.mu.
func (w *Worker) isFenced(token int64) bool {
	if token < w.token {
		return true
	}
	w.token = token
	return false
}

func (w *Worker) extendLease(deadline int64) {
	w.leaseDeadline = max(w.leaseDeadline, min(deadline, w.clockMS()+MaxLease.Milliseconds()))
}

func (w *Worker) start(rw http.ResponseWriter, r *http.Request) {
	cmd, ok := w.receive(rw, r)
	if !ok {
		return
	}
	sentTo, _ := r.Context().Value(sentToKey{}).(time.Time)
	reason := w.startRun(cmd, w.startTimeOf(sentTo))
	if reason == "" && w.hidesStart(cmd) {
		w.mu.Unlock()
		loseResponse(r)
		return
	}
	defer w.mu.Unlock()
	w.reply(rw, reason)
}

// hidesStart reports whether the start of a run gets no reply, as its worker
// crashes first. The caller holds w.mu.
func (w *Worker) hidesStart(cmd command) bool {
	n, ok := workload.ParseTaskName(cmd.Task)
	return ok && w.runs[n] != nil && w.runs[n].noReply
}

// startRun starts a run. It returns the reason for a refusal, or "". The caller
// holds w.mu.
func (w *Worker) startRun(cmd command, when startTime) string {
	if w.isFenced(cmd.Token) {
		return "fence"
	}
	n, ok := workload.ParseTaskName(cmd.Task)
	if !ok {
		return "old"
	}
	if cmd.DeadlineMS <= w.clockMS() {
		return "late"
	}
	w.extendLease(cmd.DeadlineMS)
	if r, ok := w.runs[n]; ok && r.run == cmd.Run {
		return ""
	}
	if cmd.Run <= w.highestEndedRun[n] {
		return "old"
	}
	if w.advice != nil && !w.advice.isValid(ticket{n.StepName(), w.id, cmd.Ticket}) {
		return "ticket"
	}
	step, _ := w.checker.requestedStep(n)
	used := step.Need
	for _, r := range w.runs {
		used = used.Add(r.step.Need)
	}
	if allowed := w.allowedCapacity(time.Now()); !used.Fits(allowed) {
		w.checker.recordOverload(w, n, used, allowed)
	}
	w.checker.recordStart(w, n, cmd.Run, when)
	duration := step.Estimate()/2 + time.Duration(rand.Int64N(int64(max(step.Estimate(), 1))))
	now := time.Now()
	started := &activeRun{run: cmd.Run, step: step, startedAt: now, endsAt: now.Add(duration), fails: rand.Float64() < w.faults.Failure}
	if w.checker.isDeadly(n) {
		started.deadly, started.crashesAt, started.noReply = true, now.Add(rand.N(maxCrashDelay)), rand.Float64() < noReplyProbability
	}
	w.runs[n] = started
	w.joinGang(n, started, duration)
	return ""
}

func (w *Worker) stop(rw http.ResponseWriter, r *http.Request) {
	cmd, ok := w.receive(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	w.reply(rw, w.stopRun(cmd))
}

func (w *Worker) stopRun(cmd command) string {
	if w.isFenced(cmd.Token) {
		return "fence"
	}
	n, ok := workload.ParseTaskName(cmd.Task)
	if !ok {
		return ""
	}
	w.highestEndedRun[n] = max(w.highestEndedRun[n], cmd.Run)
	if r, ok := w.runs[n]; ok && r.run <= cmd.Run && r.stopsAt.IsZero() {
		r.stopsAt = time.Now().Add(stopDuration)
	}
	return ""
}

func (w *Worker) pace(rw http.ResponseWriter, r *http.Request) {
	cmd, ok := w.receive(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	if w.isFenced(cmd.Token) {
		w.reply(rw, "fence")
		return
	}
	w.reply(rw, "")
}

func (w *Worker) hold(rw http.ResponseWriter, r *http.Request) {
	cmd, ok := w.receive(rw, r)
	if !ok {
		return
	}
	if w.isFenced(cmd.Token) {
		w.reply(rw, "fence")
		w.mu.Unlock()
		return
	}
	w.renewLease(cmd)
	waiting, changed, incarnation := len(w.ended) == 0 && cmd.WaitMS > 0, w.runEnded, w.incarnationStart
	w.mu.Unlock()
	if waiting {
		select {
		case <-changed:
		case <-time.After(time.Duration(cmd.WaitMS) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	w.mu.Lock()
	if !w.up || !w.incarnationStart.Equal(incarnation) {
		w.mu.Unlock()
		loseResponse(r)
		return
	}
	defer w.mu.Unlock()
	running, ended := [][]any{}, [][]any{}
	for n, r := range w.runs {
		percent := int(100 * float64(time.Since(r.startedAt)) / float64(max(r.endsAt.Sub(r.startedAt), 1)))
		running = append(running, []any{n.String(), r.run, "", min(max(percent, 0), 100), 0})
	}
	for _, e := range w.ended[:min(len(w.ended), maxReportedEnds)] {
		ended = append(ended, []any{e.number, e.task.String(), e.run, e.outcome, ""})
	}
	respond(rw, http.StatusOK, map[string]any{"clock_ms": w.clockMS(), "born": w.incarnationStart.UnixMilli(), "running": running, "ended": ended})
}

// renewLease extends the lease and forgets the ends that are acknowledged. The caller
// holds w.mu.
func (w *Worker) renewLease(cmd command) {
	w.extendLease(cmd.DeadlineMS)
	w.forgetEnded(cmd.LastSeen)
}

func (w *Worker) forgetEnded(seen int64) {
	w.ended = slices.DeleteFunc(w.ended, func(e endedRun) bool {
		if e.number > seen {
			return false
		}
		w.checker.recordAcknowledgement(e.task, e.outcome)
		if !e.at.Before(w.lapsedAt) {
			w.checker.checkAcknowledgedEnd(w, e)
		}
		return true
	})
}
