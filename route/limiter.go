package route

import (
	"fmt"
	"slices"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

const (
	serviceTimeDecay = 0.95                  // weight of the previous estimate at each release
	minRetryAfter    = 20 * time.Millisecond // shortest that refused callers get
	maxRetryAfter    = 5 * time.Second
)

// Class is a class of callers. A limiter shares capacity fairly among
// organisations, and among the classes of each organisation.
type Class struct {
	Organisation fleet.Organisation
	Name         string
}

// usage counts requests by organisation and class.
type usage struct {
	organisations map[fleet.Organisation]int
	classes       map[Class]int
}

func newUsage() usage {
	return usage{organisations: make(map[fleet.Organisation]int), classes: make(map[Class]int)}
}

func (u usage) add(c Class, n int) {
	u.organisations[c.Organisation] += n
	if u.organisations[c.Organisation] == 0 {
		delete(u.organisations, c.Organisation)
	}
	u.classes[c] += n
	if u.classes[c] == 0 {
		delete(u.classes, c)
	}
}

// less reports whether a uses less than b. It compares the organisations, or the
// classes if both belong to the same organisation.
func (u usage) less(a, b Class) bool {
	if a.Organisation != b.Organisation {
		return u.organisations[a.Organisation] < u.organisations[b.Organisation]
	}
	return u.classes[a] < u.classes[b]
}

// Limits are the limits of one service on one entry host.
type Limits struct {
	Concurrency int // running requests
	Queue       int // waiting requests
}

// RefusalReason is why a limiter refused a request.
type RefusalReason string

// Reasons for a refusal.
const (
	RefusedQueueFull RefusalReason = "queue_full"
	RefusedDeadline  RefusalReason = "deadline" // it could not complete before its deadline
	RefusedNoServer  RefusalReason = "no_server"
)

// RefusedError reports that a request was refused before it was sent to a
// server.
type RefusedError struct {
	Reason     RefusalReason
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("route: refused (%s), retry after %v", e.Reason, e.RetryAfter)
}

type ticketState int

const (
	ticketWaiting ticketState = iota
	ticketRunning
	ticketRefused
	ticketDone
)

// Ticket represents a request in a limiter.
type Ticket struct {
	class    Class
	deadline time.Time
	state    ticketState
	started  time.Time
	refusal  *RefusedError
	decided  chan struct{}
}

// Decided returns a channel that is closed when the request may run or is
// refused.
func (t *Ticket) Decided() <-chan struct{} { return t.decided }

// Refusal returns why a decided request was refused, or nil if it may run.
func (t *Ticket) Refusal() *RefusedError { return t.refusal }

// closedChan is shared by the tickets of all requests that need not wait.
var closedChan = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// Limiter limits the running and waiting requests of one service.
//
// Invariants:
//   - running <= limits.Concurrency, except after the limits were lowered;
//   - queue is ordered by deadline and holds exactly the waiting tickets;
//   - while a ticket waits, running >= limits.Concurrency;
//   - totalUsage counts the running and waiting tickets of each class, and
//     runningUsage the running ones.
type Limiter struct {
	limits       Limits
	running      int
	runningUsage usage // running requests
	totalUsage   usage // running and waiting requests
	queue        []*Ticket
	startedSum   time.Duration // start times of the running requests, as durations since epoch
	epoch        time.Time
	serviceTime  time.Duration // decayed average time for which a request occupies a slot
}

// NewLimiter returns a limiter. epoch is the origin of its internal times and may
// be any time near now.
func NewLimiter(epoch time.Time, limits Limits) *Limiter {
	return &Limiter{
		limits:       limits,
		runningUsage: newUsage(),
		totalUsage:   newUsage(),
		epoch:        epoch,
	}
}

// SetLimits replaces the limits. It lets waiting requests run that the new limits
// allow, and refuses the last in the queue if it is now too long, or all if no
// request may run.
func (l *Limiter) SetLimits(now time.Time, limits Limits) {
	l.limits = limits
	l.grant(now)
	for limits.Concurrency <= 0 && len(l.queue) > 0 {
		l.refuse(now, l.queue[0], RefusedNoServer)
	}
	for len(l.queue) > max(limits.Queue, 0) {
		l.refuse(now, l.queue[len(l.queue)-1], RefusedQueueFull)
	}
}

// Running returns the number of running requests.
func (l *Limiter) Running() int { return l.running }

// Waiting returns the number of waiting requests.
func (l *Limiter) Waiting() int { return len(l.queue) }

// Free returns how many more requests could run at present.
func (l *Limiter) Free() int { return max(l.limits.Concurrency-l.running, 0) }

// TryAdmit admits a request if it can run at once. Otherwise it returns false and
// leaves the limiter unchanged.
func (l *Limiter) TryAdmit(now time.Time, class Class) (*Ticket, bool) {
	if l.running >= l.limits.Concurrency {
		return nil, false
	}
	t := &Ticket{class: class, decided: closedChan}
	l.totalUsage.add(class, 1)
	l.start(now, t)
	return t, true
}

// Admit lets a request run, queues it, or refuses it. A request can't be queued if
// the queue is full, or if it or a waiting request would then miss its deadline.
// In that case the last waiting requests of classes that use more are refused
// first, and the request itself only if there are none left.
func (l *Limiter) Admit(now time.Time, class Class, deadline time.Time) *Ticket {
	if t, ok := l.TryAdmit(now, class); ok {
		t.deadline = deadline
		return t
	}
	t := &Ticket{class: class, deadline: deadline, decided: make(chan struct{})}
	l.totalUsage.add(class, 1)
	reason, ok := l.canQueue(now, t)
	for !ok {
		victim := l.victim(class)
		if victim == nil || reason == RefusedNoServer {
			l.refuse(now, t, reason)
			return t
		}
		l.refuse(now, victim, RefusedQueueFull)
		reason, ok = l.canQueue(now, t)
	}
	l.queue = slices.Insert(l.queue, l.queueIndex(t), t)
	return t
}

// queueIndex returns the index at which to insert a ticket into the queue.
func (l *Limiter) queueIndex(t *Ticket) int {
	i, _ := slices.BinarySearchFunc(l.queue, t, func(a, b *Ticket) int {
		if a.deadline.After(b.deadline) {
			return 1
		}
		return -1
	})
	return i
}

// canQueue reports whether the ticket can wait so that it and all behind it meet
// their deadlines, or else the reason why not.
func (l *Limiter) canQueue(now time.Time, t *Ticket) (RefusalReason, bool) {
	if l.limits.Concurrency <= 0 {
		return RefusedNoServer, false
	}
	at := l.queueIndex(t)
	if !l.meetsDeadline(now, t, at) {
		return RefusedDeadline, false
	}
	if len(l.queue) >= l.limits.Queue {
		return RefusedQueueFull, false
	}
	for i := at; i < len(l.queue); i++ {
		if !l.meetsDeadline(now, l.queue[i], i+1) {
			return RefusedDeadline, false
		}
	}
	return "", true
}

// meetsDeadline reports whether a ticket at this position of the queue would
// complete before its deadline.
func (l *Limiter) meetsDeadline(now time.Time, t *Ticket, position int) bool {
	serviceTime := l.expectedServiceTime(now)
	wait := serviceTime * time.Duration(position+1) / time.Duration(max(l.limits.Concurrency, 1))
	return !now.Add(wait + serviceTime).After(t.deadline)
}

// expectedServiceTime returns the expected time for which a request occupies a
// slot. When servers stall, no slot is released and the average stays low, so
// the result is at least the average age of the running requests.
func (l *Limiter) expectedServiceTime(now time.Time) time.Duration {
	if l.running == 0 {
		return l.serviceTime
	}
	age := now.Sub(l.epoch) - l.startedSum/time.Duration(l.running)
	return max(l.serviceTime, age)
}

// victim returns the last waiting ticket of the class that uses most, if that
// class uses more than the given one, or nil.
func (l *Limiter) victim(class Class) *Ticket {
	var found *Ticket
	for _, t := range l.queue {
		if !l.totalUsage.less(class, t.class) {
			continue
		}
		if found == nil || !l.totalUsage.less(t.class, found.class) {
			found = t
		}
	}
	return found
}

func (l *Limiter) start(now time.Time, t *Ticket) {
	t.state = ticketRunning
	t.started = now
	l.running++
	l.runningUsage.add(t.class, 1)
	l.startedSum += now.Sub(l.epoch)
}

func (l *Limiter) refuse(now time.Time, t *Ticket, reason RefusalReason) {
	l.dequeue(t)
	t.state = ticketRefused
	t.refusal = &RefusedError{Reason: reason, RetryAfter: l.RetryAfter(now)}
	l.totalUsage.add(t.class, -1)
	close(t.decided)
}

func (l *Limiter) dequeue(t *Ticket) {
	if i := slices.Index(l.queue, t); i >= 0 {
		l.queue = slices.Delete(l.queue, i, i+1)
	}
}

// RetryAfter estimates after what time a refused request would be admitted.
func (l *Limiter) RetryAfter(now time.Time) time.Duration {
	queue := time.Duration(len(l.queue) + 1)
	wait := l.expectedServiceTime(now) * queue / time.Duration(max(l.limits.Concurrency, 1))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// Release ends a running request when its slot is free again, and lets waiting
// ones run.
func (l *Limiter) Release(now time.Time, t *Ticket) {
	if t.state != ticketRunning {
		return
	}
	occupied := now.Sub(t.started)
	if l.serviceTime == 0 {
		l.serviceTime = occupied
	}
	l.serviceTime = time.Duration(float64(l.serviceTime)*serviceTimeDecay + float64(occupied)*(1-serviceTimeDecay))
	l.stop(now, t)
}

// Cancel ends a request that did not use a slot, because its caller has
// disconnected or no server accepted it. It does not affect the service time.
func (l *Limiter) Cancel(now time.Time, t *Ticket) {
	switch t.state {
	case ticketWaiting:
		l.dequeue(t)
		t.state = ticketDone
		l.totalUsage.add(t.class, -1)
	case ticketRunning:
		l.stop(now, t)
	}
}

func (l *Limiter) stop(now time.Time, t *Ticket) {
	t.state = ticketDone
	l.running--
	l.startedSum -= t.started.Sub(l.epoch)
	l.runningUsage.add(t.class, -1)
	l.totalUsage.add(t.class, -1)
	l.grant(now)
}

// grant lets waiting requests run while slots are free. Those that can no longer
// complete before their deadline are refused instead.
func (l *Limiter) grant(now time.Time) {
	for len(l.queue) > 0 && l.running < l.limits.Concurrency {
		t := l.next()
		if now.Add(l.serviceTime).After(t.deadline) {
			l.refuse(now, t, RefusedDeadline)
			continue
		}
		l.dequeue(t)
		l.start(now, t)
		close(t.decided)
	}
}

// next returns the waiting ticket with the earliest deadline among the classes
// with the fewest running requests.
func (l *Limiter) next() *Ticket {
	best := l.queue[0]
	for _, t := range l.queue[1:] {
		if l.runningUsage.less(t.class, best.class) {
			best = t
		}
	}
	return best
}

// Expire refuses waiting requests that can no longer complete before their
// deadline.
func (l *Limiter) Expire(now time.Time) {
	for i := 0; i < len(l.queue); {
		if t := l.queue[i]; !l.meetsDeadline(now, t, i) {
			l.refuse(now, t, RefusedDeadline)
			continue
		}
		i++
	}
}
