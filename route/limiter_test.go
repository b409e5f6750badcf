package route_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fuchsiahill/fuchsiahill/fleet"
	"github.com/fuchsiahill/fuchsiahill/route"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// class returns the only class of the organisation called name.
func class(name string) route.Class { return route.Class{Organisation: fleet.Organisation(name)} }

func decided(t *route.Ticket) bool {
	select {
	case <-t.Decided():
		return true
	default:
		return false
	}
}

// TestLimiterModel runs random requests and checks that the limits hold, that no
// slot stays free while a request waits, and that every request is decided in the
// end.
func TestLimiterModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := epoch
		limits := route.Limits{
			Concurrency: rapid.IntRange(0, 4).Draw(t, "concurrency"),
			Queue:       rapid.IntRange(0, 5).Draw(t, "queue"),
		}
		l := route.NewLimiter(now, limits)
		l.SetLimits(now, limits)
		var open []*route.Ticket // neither refused nor ended
		highest := limits.Concurrency
		end := func(ticket *route.Ticket) {
			open = slices.DeleteFunc(open, func(o *route.Ticket) bool { return o == ticket })
		}
		// endOne ends a random running (or else waiting) ticket, if there is one.
		endOne := func(t *rapid.T, running bool, how func(time.Time, *route.Ticket)) {
			some := slices.DeleteFunc(slices.Clone(open), func(ticket *route.Ticket) bool { return decided(ticket) != running })
			if len(some) > 0 {
				ticket := rapid.SampledFrom(some).Draw(t, "ticket")
				end(ticket)
				how(now, ticket)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) {
				of := route.Class{Organisation: rapid.SampledFrom([]fleet.Organisation{"x", "y"}).Draw(t, "organisation"), Name: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "class")}
				open = append(open, l.Admit(now, of, now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms"))*time.Millisecond)))
			},
			"release":        func(t *rapid.T) { endOne(t, true, l.Release) },
			"cancel running": func(t *rapid.T) { endOne(t, true, l.Cancel) },
			"cancel waiting": func(t *rapid.T) { endOne(t, false, l.Cancel) },
			"wait":           func(t *rapid.T) { now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond) },
			"expire":         func(*rapid.T) { l.Expire(now) },
			"limits": func(t *rapid.T) {
				limits = route.Limits{
					Concurrency: rapid.IntRange(0, 4).Draw(t, "concurrency"),
					Queue:       rapid.IntRange(0, 5).Draw(t, "queue"),
				}
				l.SetLimits(now, limits)
				highest = max(highest, limits.Concurrency)
			},
			"": func(t *rapid.T) {
				open = slices.DeleteFunc(open, func(ticket *route.Ticket) bool { return decided(ticket) && ticket.Refusal() != nil })
				running, waiting := 0, 0
				for _, ticket := range open {
					if decided(ticket) {
						running++
					} else {
						waiting++
					}
				}
				if running != l.Running() || waiting != l.Waiting() {
					t.Fatalf("limiter reports %d running and %d waiting, want %d and %d", l.Running(), l.Waiting(), running, waiting)
				}
				if running > highest || waiting > limits.Queue {
					t.Fatalf("%d running, %d waiting with limits %+v", running, waiting, limits)
				}
				if waiting > 0 && running < limits.Concurrency {
					t.Fatalf("%d requests wait while a slot is free", waiting)
				}
			},
		})
		// Every request is decided: once the running ones have ended, none waits.
		for len(open) > 0 {
			before := len(open)
			for _, ticket := range slices.Clone(open) {
				if decided(ticket) {
					l.Release(now, ticket)
					end(ticket)
				}
			}
			now = now.Add(time.Second)
			l.Expire(now)
			open = slices.DeleteFunc(open, func(ticket *route.Ticket) bool { return decided(ticket) && ticket.Refusal() != nil })
			if len(open) == before {
				t.Fatalf("%d requests were never decided", len(open))
			}
		}
	})
}

// warmUp runs requests that each occupy a slot for serviceTime.
func warmUp(l *route.Limiter, serviceTime time.Duration) {
	for range 100 {
		ticket, _ := l.TryAdmit(epoch, class("learn"))
		l.Release(epoch.Add(serviceTime), ticket)
	}
}

func TestLimiterDecisions(t *testing.T) {
	const ms = time.Millisecond
	newLimiter := func(concurrency, queue int) *route.Limiter {
		l := route.NewLimiter(epoch, route.Limits{Concurrency: concurrency, Queue: queue})
		warmUp(l, 10*ms)
		for range concurrency {
			l.TryAdmit(epoch, class("a"))
		}
		return l
	}
	t.Run("request that would be late is refused at once", func(t *testing.T) {
		l := newLimiter(1, 10)
		ticket := l.Admit(epoch, class("a"), epoch.Add(15*ms)) // 10 ms to wait, 10 ms to run
		if !decided(ticket) || ticket.Refusal() == nil || ticket.Refusal().Reason != route.RefusedDeadline {
			t.Errorf("not refused: %v", ticket.Refusal())
		}
		if ticket := l.Admit(epoch, class("a"), epoch.Add(25*ms)); decided(ticket) {
			t.Errorf("refused although there is time: %v", ticket.Refusal())
		}
	})
	t.Run("earlier deadline does not displace a waiting request", func(t *testing.T) {
		l := newLimiter(1, 10)
		waiting := l.Admit(epoch, class("a"), epoch.Add(25*ms))
		if ticket := l.Admit(epoch, class("a"), epoch.Add(24*ms)); !decided(ticket) || ticket.Refusal() == nil {
			t.Error("the second request was admitted")
		}
		if decided(waiting) {
			t.Error("the first request was displaced")
		}
	})
	t.Run("order by deadline", func(t *testing.T) {
		l := route.NewLimiter(epoch, route.Limits{Concurrency: 1, Queue: 10})
		running, _ := l.TryAdmit(epoch, class("a"))
		late := l.Admit(epoch, class("a"), epoch.Add(900*ms))
		soon := l.Admit(epoch, class("a"), epoch.Add(500*ms))
		l.Release(epoch.Add(ms), running)
		if !decided(soon) || decided(late) {
			t.Error("the later deadline went first")
		}
	})
	t.Run("fair shares", func(t *testing.T) {
		l := route.NewLimiter(epoch, route.Limits{Concurrency: 2, Queue: 4})
		running, _ := l.TryAdmit(epoch, class("greedy"))
		l.TryAdmit(epoch, class("greedy"))
		var greedy []*route.Ticket
		for i := range 4 {
			greedy = append(greedy, l.Admit(epoch, class("greedy"), epoch.Add(time.Duration(i+1)*time.Second)))
		}
		modest := l.Admit(epoch, class("modest"), epoch.Add(10*time.Second))
		if decided(modest) {
			t.Fatalf("refused: %v", modest.Refusal())
		}
		if !decided(greedy[3]) || greedy[3].Refusal() == nil || greedy[3].Refusal().Reason != route.RefusedQueueFull {
			t.Error("the last request of the class that uses more was not refused")
		}
		l.Release(epoch.Add(ms), running)
		if !decided(modest) {
			t.Error("the class without running requests did not go first")
		}
		if ticket := l.Admit(epoch, class("greedy"), epoch.Add(20*time.Second)); decided(ticket) {
			t.Errorf("refused although the queue has a free place: %v", ticket.Refusal())
		}
		if ticket := l.Admit(epoch, class("greedy"), epoch.Add(20*time.Second)); !decided(ticket) || ticket.Refusal() == nil {
			t.Error("the class that uses more displaced a request of the other")
		}
	})
	t.Run("an organisation gains nothing by more classes", func(t *testing.T) {
		l := route.NewLimiter(epoch, route.Limits{Concurrency: 2, Queue: 4})
		running, _ := l.TryAdmit(epoch, route.Class{Organisation: "x", Name: "1"})
		l.TryAdmit(epoch, route.Class{Organisation: "y", Name: "1"})
		l.TryAdmit(epoch, route.Class{Organisation: "y", Name: "1"})
		split := l.Admit(epoch, route.Class{Organisation: "y", Name: "2"}, epoch.Add(time.Second))
		whole := l.Admit(epoch, route.Class{Organisation: "x", Name: "1"}, epoch.Add(2*time.Second))
		l.Release(epoch.Add(ms), running)
		if decided(split) || !decided(whole) {
			t.Error("the new class of the organisation with more running requests went first")
		}
	})
	t.Run("stalled servers", func(t *testing.T) {
		l := newLimiter(1, 10)
		ticket := l.Admit(epoch, class("a"), epoch.Add(500*ms))
		l.Expire(epoch.Add(300 * ms)) // nothing was released for 300 ms
		if !decided(ticket) || ticket.Refusal() == nil {
			t.Error("it still waits")
		}
	})
	t.Run("no server", func(t *testing.T) {
		l := newLimiter(1, 10)
		ticket := l.Admit(epoch, class("a"), epoch.Add(500*ms))
		l.SetLimits(epoch, route.Limits{Concurrency: 0, Queue: 10})
		if !decided(ticket) || ticket.Refusal() == nil || ticket.Refusal().Reason != route.RefusedNoServer {
			t.Error("it still waits")
		}
	})
}

// TestOverload sends three times the capacity to a simulated set of slots. It
// checks the share of requests that complete before their deadline, and that
// refusals are decided on arrival.
func TestOverload(t *testing.T) {
	const (
		slots       = 32
		serviceTime = 20 * time.Millisecond
		timeout     = 100 * time.Millisecond
		arrivals    = 20_000
		capacity    = float64(slots) / float64(serviceTime) // requests per ns
	)
	rng := newRand(1)
	l := route.NewLimiter(epoch, route.Limits{Concurrency: slots, Queue: 64})
	type request struct {
		ticket   *route.Ticket
		due      time.Time // arrival while waiting, end while running
		deadline time.Time
	}
	var running, waiting []request
	useful, late, slow := 0, 0, 0
	now := epoch
	startWaiting := func() {
		waiting = slices.DeleteFunc(waiting, func(r request) bool {
			if !decided(r.ticket) {
				return false
			}
			if r.ticket.Refusal() == nil {
				r.due = now.Add(time.Duration(rng.ExpFloat64()*float64(serviceTime)/2) + serviceTime/2)
				running = append(running, r)
			} else if now.Sub(r.due) > 10*time.Millisecond {
				slow++
			}
			return true
		})
	}
	for range arrivals {
		now = now.Add(time.Duration(rng.ExpFloat64() / (3 * capacity)))
		for {
			i := earliest(len(running), func(i int) time.Time { return running[i].due })
			if i < 0 || running[i].due.After(now) {
				break
			}
			r := running[i]
			running = slices.Delete(running, i, i+1)
			if r.due.After(r.deadline) {
				late++
			} else {
				useful++
			}
			after := now
			now = r.due
			l.Release(now, r.ticket)
			startWaiting()
			now = after
		}
		deadline := now.Add(timeout)
		waiting = append(waiting, request{l.Admit(now, class(fmt.Sprint(rng.IntN(3))), deadline), now, deadline})
		startWaiting()
	}
	possible := capacity * float64(now.Sub(epoch))
	if share := float64(useful) / possible; share < 0.9 {
		t.Errorf("throughput of requests in time is %.3f of capacity", share)
	}
	refused := arrivals - useful - late - len(running) - len(waiting)
	if float64(slow) > 0.01*float64(refused) {
		t.Errorf("%d of %d refusals came later than 10 ms after arrival", slow, refused)
	}
	t.Logf("in time: %.3f of capacity; late: %d; %d of %d refusals came later than 10 ms after arrival", float64(useful)/possible, late, slow, refused)
}

// earliest returns the index with the earliest time, or -1 if n is 0.
func earliest(n int, at func(int) time.Time) int {
	best := -1
	for i := range n {
		if best < 0 || at(i).Before(at(best)) {
			best = i
		}
	}
	return best
}

func TestRetryBudget(t *testing.T) {
	var b route.RetryBudget
	now := epoch
	for range 1000 {
		b.RecordRequest(now)
	}
	allowed := 0
	for range 1000 {
		if b.TryRetry(now, 10) {
			allowed++
		}
	}
	if allowed != 100 {
		t.Errorf("%d retries for 1000 requests, want 100", allowed)
	}
	if b.TryRetry(now.Add(9*time.Second), 10) {
		t.Error("the budget was restored within the window")
	}
	now = now.Add(20 * time.Second)
	allowed = 0
	for range 100 {
		if b.TryRetry(now, 10) {
			allowed++
		}
	}
	if allowed != 5 {
		t.Errorf("a service without requests may retry %d times, want 5", allowed)
	}
	if b.TryRetry(now, 0) {
		t.Error("a retry was allowed at 0 percent")
	}
}
