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

// class returns a class that is alone in its organisation.
func class(name string) route.Class { return route.Class{Organisation: fleet.Organisation(name)} }

func decided(t *route.Ticket) bool {
	select {
	case <-t.Decided():
		return true
	default:
		return false
	}
}

// TestLimiterModel runs random requests and checks that the limits hold, that
// room never stays unused while a request waits, and that every request is
// decided in the end.
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
		end := func(k *route.Ticket) {
			open = slices.DeleteFunc(open, func(o *route.Ticket) bool { return o == k })
		}
		// endOne ends a random ticket that runs (or waits), if there is one.
		endOne := func(t *rapid.T, running bool, how func(time.Time, *route.Ticket)) {
			some := slices.DeleteFunc(slices.Clone(open), func(k *route.Ticket) bool { return decided(k) != running })
			if len(some) > 0 {
				k := rapid.SampledFrom(some).Draw(t, "ticket")
				end(k)
				how(now, k)
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
				open = slices.DeleteFunc(open, func(k *route.Ticket) bool { return decided(k) && k.Refusal() != nil })
				running, waiting := 0, 0
				for _, k := range open {
					if decided(k) {
						running++
					} else {
						waiting++
					}
				}
				if running != l.Running() || waiting != l.Waiting() {
					t.Fatalf("limiter counts %d and %d, have %d and %d", l.Running(), l.Waiting(), running, waiting)
				}
				if running > highest || waiting > limits.Queue {
					t.Fatalf("%d running, %d waiting with %+v", running, waiting, limits)
				}
				if waiting > 0 && running < limits.Concurrency {
					t.Fatalf("%d wait while there is room", waiting)
				}
			},
		})
		// Nobody is forgotten: once all that runs has ended, nothing waits.
		for len(open) > 0 {
			before := len(open)
			for _, k := range slices.Clone(open) {
				if decided(k) {
					l.Release(now, k)
					end(k)
				}
			}
			now = now.Add(time.Second)
			l.Expire(now)
			open = slices.DeleteFunc(open, func(k *route.Ticket) bool { return decided(k) && k.Refusal() != nil })
			if len(open) == before {
				t.Fatalf("%d requests were forgotten", len(open))
			}
		}
	})
}

// learn lets a limiter see requests that keep their slot for hold.
func learn(l *route.Limiter, hold time.Duration) {
	for range 100 {
		k, _ := l.TryAdmit(epoch, class("learn"))
		l.Release(epoch.Add(hold), k)
	}
}

func TestLimiterDecisions(t *testing.T) {
	const ms = time.Millisecond
	newLimiter := func(concurrency, queue int) *route.Limiter {
		l := route.NewLimiter(epoch, route.Limits{Concurrency: concurrency, Queue: queue})
		learn(l, 10*ms)
		for range concurrency {
			l.TryAdmit(epoch, class("a"))
		}
		return l
	}
	t.Run("late request is refused at once", func(t *testing.T) {
		l := newLimiter(1, 10)
		k := l.Admit(epoch, class("a"), epoch.Add(15*ms)) // 10 ms to wait, 10 ms to run
		if !decided(k) || k.Refusal() == nil || k.Refusal().Reason != route.RefusedDeadline {
			t.Errorf("not refused: %v", k.Refusal())
		}
		if k := l.Admit(epoch, class("a"), epoch.Add(25*ms)); decided(k) {
			t.Errorf("refused although there is time: %v", k.Refusal())
		}
	})
	t.Run("earlier deadline does not push out who waits", func(t *testing.T) {
		l := newLimiter(1, 10)
		waiting := l.Admit(epoch, class("a"), epoch.Add(25*ms))
		if k := l.Admit(epoch, class("a"), epoch.Add(24*ms)); !decided(k) || k.Refusal() == nil {
			t.Error("the second was let in")
		}
		if decided(waiting) {
			t.Error("the first was pushed out")
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
			t.Error("the last of the larger class was not refused")
		}
		l.Release(epoch.Add(ms), running)
		if !decided(modest) {
			t.Error("the class that runs nothing did not go first")
		}
		if k := l.Admit(epoch, class("greedy"), epoch.Add(20*time.Second)); decided(k) {
			t.Errorf("there is a place again: %v", k.Refusal())
		}
		if k := l.Admit(epoch, class("greedy"), epoch.Add(20*time.Second)); !decided(k) || k.Refusal() == nil {
			t.Error("the larger class took a place of the smaller")
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
			t.Error("the new class of the organisation that runs more went first")
		}
	})
	t.Run("stalled servers", func(t *testing.T) {
		l := newLimiter(1, 10)
		k := l.Admit(epoch, class("a"), epoch.Add(500*ms))
		l.Expire(epoch.Add(300 * ms)) // nothing was released for 300 ms
		if !decided(k) || k.Refusal() == nil {
			t.Error("it still waits")
		}
	})
	t.Run("no server", func(t *testing.T) {
		l := newLimiter(1, 10)
		k := l.Admit(epoch, class("a"), epoch.Add(500*ms))
		l.SetLimits(epoch, route.Limits{Concurrency: 0, Queue: 10})
		if !decided(k) || k.Refusal() == nil || k.Refusal().Reason != route.RefusedNoServer {
			t.Error("it still waits")
		}
	})
}

// TestOverload offers three times the capacity to a simulated set of slots
// and checks useful throughput, and that refusals are made on arrival.
func TestOverload(t *testing.T) {
	const (
		slots    = 32
		hold     = 20 * time.Millisecond
		patience = 100 * time.Millisecond
		arrivals = 20_000
		capacity = float64(slots) / float64(hold) // requests per ns
	)
	rng := newRand(1)
	l := route.NewLimiter(epoch, route.Limits{Concurrency: slots, Queue: 64})
	type job struct {
		ticket *route.Ticket
		due    time.Time // arrival, or end
		by     time.Time
	}
	var running, waiting []job
	useful, late, slow := 0, 0, 0
	now := epoch
	startWaiting := func() {
		waiting = slices.DeleteFunc(waiting, func(j job) bool {
			if !decided(j.ticket) {
				return false
			}
			if j.ticket.Refusal() == nil {
				j.due = now.Add(time.Duration(rng.ExpFloat64()*float64(hold)/2) + hold/2)
				running = append(running, j)
			} else if now.Sub(j.due) > 10*time.Millisecond {
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
			j := running[i]
			running = slices.Delete(running, i, i+1)
			if j.due.After(j.by) {
				late++
			} else {
				useful++
			}
			after := now
			now = j.due
			l.Release(now, j.ticket)
			startWaiting()
			now = after
		}
		by := now.Add(patience)
		waiting = append(waiting, job{l.Admit(now, class(fmt.Sprint(rng.IntN(3))), by), now, by})
		startWaiting()
	}
	possible := capacity * float64(now.Sub(epoch))
	if share := float64(useful) / possible; share < 0.9 {
		t.Errorf("useful throughput is %.3f of capacity", share)
	}
	refused := arrivals - useful - late - len(running) - len(waiting)
	if float64(slow) > 0.01*float64(refused) {
		t.Errorf("%d of %d refusals came later than 10 ms after arrival", slow, refused)
	}
	t.Logf("useful %.3f of capacity, %d late, %d of %d refusals after 10 ms", float64(useful)/possible, late, slow, refused)
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
		t.Errorf("%d retries of 1000 requests", allowed)
	}
	if b.TryRetry(now.Add(9*time.Second), 10) {
		t.Error("the budget came back within the window")
	}
	now = now.Add(20 * time.Second)
	allowed = 0
	for range 100 {
		if b.TryRetry(now, 10) {
			allowed++
		}
	}
	if allowed != 5 {
		t.Errorf("a quiet service may retry %d times", allowed)
	}
	if b.TryRetry(now, 0) {
		t.Error("a retry without a budget")
	}
}
