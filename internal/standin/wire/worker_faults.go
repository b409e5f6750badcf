package wire

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/fuchsiahill/fuchsiahill/workload"
)

const (
	// roundTrip is the way to a worker in another data centre and back.
	roundTrip    = 2800 * time.Microsecond
	minLateDelay = 2 * time.Second
	maxLateDelay = 8 * time.Second
	// maxReplyDelay is how long other replies may overtake a reply.
	maxReplyDelay = time.Second
	// maxCrashDelay is the longest time from the start of a deadly run to the crash.
	maxCrashDelay   = 300 * time.Millisecond
	minDeadlyOutage = 500 * time.Millisecond
	maxDeadlyOutage = 3 * time.Second
	// noReplyProbability is that of a deadly run whose start gets no reply.
	noReplyProbability = 0.5
)

// Crash ends every run on the worker and makes it unresponsive until Restart.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crash()
	w.restartAt = time.Time{}
}

// CrashFor ends every run on the worker and makes it unresponsive for d. It does
// nothing if the worker is down.
func (w *Worker) CrashFor(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashFor(d)
}

// crashFor is CrashFor for callers that hold w.mu.
func (w *Worker) crashFor(d time.Duration) {
	if !w.up {
		return
	}
	w.crash()
	w.restartAt = time.Now().Add(d)
}

// crash ends every run on the worker and makes it unresponsive. The caller holds
// w.mu.
func (w *Worker) crash() {
	w.up = false
	if w.restarted == nil {
		w.restarted = make(chan struct{})
	}
	for n, r := range w.runs {
		w.checker.recordCrash(n)
		w.leaveGang(n, r, "")
	}
	w.runs = make(map[workload.TaskName]*activeRun)
}

// Restart starts the worker's next incarnation under the same ID and registers it.
func (w *Worker) Restart() error {
	w.mu.Lock()
	w.crash()
	w.beginIncarnation()
	w.mu.Unlock()
	return w.register()
}

// crashIfDue crashes the worker if a deadly run is due to, and reports whether it
// did. The caller holds w.mu.
func (w *Worker) crashIfDue(now time.Time) bool {
	for _, r := range w.runs {
		if r.deadly && !now.Before(r.crashesAt) {
			w.crashFor(minDeadlyOutage + rand.N(maxDeadlyOutage-minDeadlyOutage))
			return true
		}
	}
	return false
}

// restartIfDue ends an outage that is over and reports whether it did. The caller
// holds w.mu and registers the new incarnation.
func (w *Worker) restartIfDue(now time.Time) bool {
	if w.up || w.restartAt.IsZero() || now.Before(w.restartAt) {
		return false
	}
	w.beginIncarnation()
	return true
}

// WorkerFaults are the probabilities of a worker's faults.
type WorkerFaults struct {
	Late      float64 // a call gets no reply and is executed seconds later, after newer ones
	LostReply float64 // a call is executed at once and gets no reply
	SlowReply float64 // a reply is overtaken by those to later calls
	Unhealthy float64 // a start is refused for no reason of its own
	Failure   float64 // a run fails
}

// SetFaults sets the faults to inject.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// sentToKey is the key of the start of the incarnation to which a call was sent,
// in the call's context.
type sentToKey struct{}

// applyFaults holds calls while the worker is down, rejects calls meant for
// another worker, and delays some commands. A call whose caller still waits when
// the worker restarts reaches the next incarnation.
func (w *Worker) applyFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		// The server notices that a caller disconnects only after the body is read.
		body, err := io.ReadAll(r.Body)
		if err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		sentTo, up := w.awaitRestart(r.Context())
		if !up {
			return
		}
		if id := r.Header.Get("Fuchsiahill-Expect-Instance"); id != "" && id != string(w.id) {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		pause(r, roundTrip)
		w.mu.Lock()
		faults := w.faults
		w.mu.Unlock()
		r = r.WithContext(context.WithValue(r.Context(), sentToKey{}, sentTo))
		switch draw := rand.Float64(); {
		case draw < faults.Late:
			w.executeAfter(minLateDelay+rand.N(maxLateDelay-minLateDelay), r.URL.Path, body, sentTo)
			loseResponse(r)
		case draw < faults.Late+faults.LostReply:
			next.ServeHTTP(discardWriter{http.Header{}}, r)
			loseResponse(r)
		case r.URL.Path == "/v1/run-start" && rand.Float64() < faults.Unhealthy:
			rw.WriteHeader([]int{http.StatusTooManyRequests, http.StatusServiceUnavailable}[rand.IntN(2)])
		case rand.Float64() < faults.SlowReply:
			reply := &heldReply{header: rw.Header()}
			next.ServeHTTP(reply, r)
			pause(r, rand.N(maxReplyDelay))
			rw.WriteHeader(reply.status)
			_, _ = rw.Write(reply.body.Bytes()) // fails only if the caller has disconnected
		default:
			next.ServeHTTP(rw, r)
		}
	})
}

// heldReply holds a reply that is sent later.
type heldReply struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (h *heldReply) Header() http.Header         { return h.header }
func (h *heldReply) Write(b []byte) (int, error) { return h.body.Write(b) }
func (h *heldReply) WriteHeader(status int)      { h.status = status }

// executeAfter executes a call after a delay, unless it is not valid.
func (w *Worker) executeAfter(delay time.Duration, path string, body []byte, sentTo time.Time) {
	var cmd command
	if err := json.Unmarshal(body, &cmd); err != nil || !cmd.isValid(path) {
		return
	}
	go func() {
		select {
		case <-w.done:
		case <-time.After(delay):
			w.executeLate(path, cmd, sentTo)
		}
	}()
}

// awaitRestart returns the start of the incarnation to which a call was sent. If
// the worker is down, it waits for the restart; it returns false if the caller
// disconnects before.
func (w *Worker) awaitRestart(ctx context.Context) (sentTo time.Time, up bool) {
	w.mu.Lock()
	sentTo, up, restarted := w.incarnationStart, w.up, w.restarted
	w.mu.Unlock()
	if up {
		return sentTo, true
	}
	select {
	case <-restarted:
		return sentTo, ctx.Err() == nil
	case <-ctx.Done():
		return sentTo, false
	}
}

// startTimeOf tells when a start that was sent to the incarnation that began at
// sentTo is executed. The caller holds w.mu.
func (w *Worker) startTimeOf(sentTo time.Time) startTime {
	switch {
	case sentTo.Equal(w.incarnationStart):
		return startOnTime
	case w.token == 0:
		return startStray
	default:
		return startLate
	}
}

// executeLate executes a command that got no reply. sentTo is the start of the
// incarnation that received it.
func (w *Worker) executeLate(path string, cmd command, sentTo time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return
	}
	switch path {
	case "/v1/run-start":
		w.startRun(cmd, max(startLate, w.startTimeOf(sentTo)))
	case "/v1/run-stop":
		w.stopRun(cmd)
	case "/v1/hold":
		if w.isFenced(cmd.Token) {
			return
		}
		if !sentTo.Equal(w.incarnationStart) {
			// Nothing can refuse a late acknowledgement before the new incarnation has
			// a newer token.
			cmd.LastSeen = 0
		}
		w.renewLease(cmd)
	case "/v1/pace":
		w.isFenced(cmd.Token)
	}
}
