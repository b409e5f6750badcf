package wire

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	answerTime       = 4 * time.Millisecond
	slowDelay        = 240 * time.Millisecond // 60 times the usual 4 ms
	lossyProbability = 0.3
	lateProbability  = 0.5 // of those calls
	maxWriteDelay    = 4 * time.Second
	expiryInterval   = 50 * time.Millisecond
)

// arrivalKey is the key of the time at which a call arrived, in the call's context.
type arrivalKey struct{}

// arrivalOf returns when a call arrived: leases run from then.
func arrivalOf(r *http.Request) time.Time {
	at, ok := r.Context().Value(arrivalKey{}).(time.Time)
	if !ok {
		return time.Now()
	}
	return at
}

// applyMode applies the limits and the mode to each call.
func (f *StoreFront) applyMode(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The server notices that a caller disconnects only after the body is read.
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return // the caller has disconnected before it had sent the call
		}
		now := time.Now()
		r = r.WithContext(context.WithValue(r.Context(), arrivalKey{}, now))
		r.Body = io.NopCloser(bytes.NewReader(body))
		if !f.store.accept(r, now) {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		pause(r, answerTime)
		switch f.current() {
		case StoreUnavailable:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case StoreOverloaded:
			w.WriteHeader(http.StatusTooManyRequests)
			return
		case StoreUnresponsive:
			loseResponse(r)
			return
		case StoreSlow:
			pause(r, slowDelay)
		case StoreLossy:
			if rand.Float64() < lossyProbability {
				f.store.applyUnanswered(next, r, body)
				return
			}
		}
		next.ServeHTTP(&frontWriter{w, r, f}, r)
	})
}

// frontWriter writes a response, unless its front has failed while the call waited.
type frontWriter struct {
	http.ResponseWriter
	request *http.Request
	front   *StoreFront
}

// WriteHeader implements http.ResponseWriter.
func (w *frontWriter) WriteHeader(status int) {
	if w.front.current() == StoreUnresponsive {
		loseResponse(w.request)
	}
	w.ResponseWriter.WriteHeader(status)
}

// loseResponse waits until the caller disconnects: the connection returns nothing
// further.
func loseResponse(r *http.Request) { <-r.Context().Done() }

// applyUnanswered applies a call without responding, in some cases late and although
// the caller has disconnected.
func (s *Store) applyUnanswered(next http.Handler, r *http.Request, body []byte) {
	defer loseResponse(r)
	if r.Method == http.MethodGet {
		return
	}
	call := r.Clone(context.WithoutCancel(r.Context()))
	call.Body = io.NopCloser(bytes.NewReader(body))
	delay := time.Duration(0)
	if rand.Float64() < lateProbability {
		delay = time.Duration(rand.Int64N(int64(maxWriteDelay)))
	}
	go func() {
		select {
		case <-s.done:
		case <-time.After(delay):
			next.ServeHTTP(discardWriter{http.Header{}}, call)
		}
	}()
}

// pause waits for d or until the caller disconnects.
func pause(r *http.Request, d time.Duration) {
	select {
	case <-r.Context().Done():
	case <-time.After(d):
	}
}

// discardWriter discards a response that is to be lost.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d discardWriter) WriteHeader(int)             {}

// CutWatches closes the connections of the watches that wait.
func (s *Store) CutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.watchesCut)
	s.watchesCut = make(chan struct{})
}
