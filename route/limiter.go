package route

import (
	"fmt"
	"slices"
	"time"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

const (
	serviceTimeDecay = 0.95                  // share of the old estimate kept at each release
	minRetryAfter    = 20 * time.Millisecond // told to refused callers at least
	maxRetryAfter    = 5 * time.Second
)

// Class is a class of callers. A limiter shares fairly among organisations,
// and among the classes of each.
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

// less reports whether a uses less than b: its organisation does, or within
// the same one the class does.
func (u usage) less(a, b Class) bool {
	if a.Organisation != b.Organisation {
		return u.organisations[a.Organisation] < u.organisations[b.Organisation]
	}
	return u.classes[a] < u.classes[b]
}

// Limits of one service on one entry host.
type Limits struct {
	Concurrency int // requests that run at once
	Queue       int // requests that wait
}

// RefusalReason is why a limiter refused a request.
type RefusalReason string

// Reasons for a refusal.
const (
	RefusedQueueFull RefusalReason = "queue_full"
	RefusedDeadline  RefusalReason = "deadline" // it could not be done in time
	RefusedNoServer  RefusalReason = "no_server"
)

// RefusedError reports that a request was refused before it ran.
type RefusedError struct {
	Reason     RefusalReason
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("route: refused (%s), try again after %v", e.Reason, e.RetryAfter)
}

type ticketState int

const (
	ticketWaiting ticketState = iota
	ticketRunning
	ticketRefused
	ticketDone
)

// Ticket is a request's place in a limiter.
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

// closedChan is the channel of all requests that need not wait.
var closedChan = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// Limiter bounds the running and waiting requests of one service.
//
// Invariants: running <= limits.Concurrency, except after the limits were
// lowered; queue is ordered by deadline and holds exactly the waiting
// tickets; while a ticket waits, running >= limits.Concurrency; load counts
// the running and waiting tickets, and runs the running ones, of each class.
type Limiter struct {
	limits       Limits
	running      int
	runningUsage usage // of the running
	totalUsage   usage // of the running and waiting
	queue        []*Ticket
	startedSum   time.Duration // of the running, since epoch
	epoch        time.Time
	serviceTime  time.Duration // decayed time that a request keeps its slot
}

// NewLimiter returns a limiter. epoch is any time near now.
func NewLimiter(epoch time.Time, limits Limits) *Limiter {
	return &Limiter{
		limits:       limits,
		runningUsage: newUsage(),
		totalUsage:   newUsage(),
		epoch:        epoch,
	}
}

// SetLimits replaces the limits.
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

// Running returns how many requests run.
func (l *Limiter) Running() int { return l.running }

// Waiting returns how many requests wait.
func (l *Limiter) Waiting() int { return len(l.queue) }

// Free returns how many requests could run at once in addition.
func (l *Limiter) Free() int { return max(l.limits.Concurrency-l.running, 0) }

// TryAdmit lets a request run if it need not wait.
func (l *Limiter) TryAdmit(now time.Time, class Class) (*Ticket, bool) {
	if l.running >= l.limits.Concurrency {
		return nil, false
	}
	t := &Ticket{class: class, decided: closedChan}
	l.totalUsage.add(class, 1)
	l.start(now, t)
	return t, true
}

// Admit lets a request run, wait, or be refused at once when it can't be done
// before its deadline, or only at the cost of one that waits already. A class
// that uses less than another takes the place of the other's last request.
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

// place returns where a ticket belongs in the queue.
func (l *Limiter) queueIndex(t *Ticket) int {
	i, _ := slices.BinarySearchFunc(l.queue, t, func(a, b *Ticket) int {
		if a.deadline.After(b.deadline) {
			return 1
		}
		return -1
	})
	return i
}

// fits reports whether the ticket can wait, such that it and all behind it
// are done in time.
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

// meets reports whether the ticket would be done in time from this position.
func (l *Limiter) meetsDeadline(now time.Time, t *Ticket, position int) bool {
	hold := l.expectedServiceTime(now)
	wait := hold * time.Duration(position+1) / time.Duration(max(l.limits.Concurrency, 1))
	return !now.Add(wait + hold).After(t.deadline)
}

// expectedHold is the time that a request keeps its slot. When servers stall
// nothing is released, so the age of what runs counts too.
func (l *Limiter) expectedServiceTime(now time.Time) time.Duration {
	if l.running == 0 {
		return l.serviceTime
	}
	age := now.Sub(l.epoch) - l.startedSum/time.Duration(l.running)
	return max(l.serviceTime, age)
}

// victim returns the last waiting ticket of the class with the largest load,
// if that class uses more than the given one would.
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

// RetryAfter estimates when a refused request would find room.
func (l *Limiter) RetryAfter(now time.Time) time.Duration {
	queue := time.Duration(len(l.queue) + 1)
	wait := l.expectedServiceTime(now) * queue / time.Duration(max(l.limits.Concurrency, 1))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// Release ends a running request, when its slot is free again, and grants the
// next.
func (l *Limiter) Release(now time.Time, t *Ticket) {
	if t.state != ticketRunning {
		return
	}
	held := now.Sub(t.started)
	if l.serviceTime == 0 {
		l.serviceTime = held
	}
	l.serviceTime = time.Duration(float64(l.serviceTime)*serviceTimeDecay + float64(held)*(1-serviceTimeDecay))
	l.stop(now, t)
}

// Cancel ends a request that has not used a slot: its caller left, or no
// server took it.
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

// grant lets waiting requests run while there is room. Those that can't be
// done in time any more are refused instead.
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

// next returns the earliest deadline among the classes that run least.
func (l *Limiter) next() *Ticket {
	best := l.queue[0]
	for _, t := range l.queue[1:] {
		if l.runningUsage.less(t.class, best.class) {
			best = t
		}
	}
	return best
}

// Expire refuses waiting requests that can't be done in time any more.
func (l *Limiter) Expire(now time.Time) {
	for i := 0; i < len(l.queue); {
		if t := l.queue[i]; !l.meetsDeadline(now, t, i) {
			l.refuse(now, t, RefusedDeadline)
			continue
		}
		i++
	}
}
