package inventory

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
)

// DefaultPollInterval is the time between two reads of the host list.
const DefaultPollInterval = time.Second

// Poller is a View that polls the host list. The version of its list never
// decreases, even if the platform returns an older list.
type Poller struct {
	lister   HostLister
	interval time.Duration
	logger   log.Logger

	mu      sync.Mutex
	list    *HostList
	changed chan struct{} // closed and replaced when list changes
	failing bool
}

var _ View = (*Poller)(nil)

// NewPoller returns a Poller that provides an empty list until Serve has read
// one. An interval of 0 means DefaultPollInterval.
func NewPoller(lister HostLister, interval time.Duration, logger log.Logger) *Poller {
	if interval == 0 {
		interval = DefaultPollInterval
	}
	return &Poller{
		lister:   lister,
		interval: interval,
		logger:   logger,
		list:     &HostList{},
		changed:  make(chan struct{}),
	}
}

// Hosts implements View.
func (p *Poller) Hosts() *HostList {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.list
}

// Changed implements View.
func (p *Poller) Changed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

// Serve polls the list until ctx ends. It keeps the last list when a read fails.
func (p *Poller) Serve(ctx context.Context) error {
	ticker := time.NewTicker(p.interval)
	defer ticker.Stop()
	for {
		p.Poll(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// Poll reads the list once. Serve calls it at every interval.
func (p *Poller) Poll(ctx context.Context) {
	list, newer, err := p.lister.Hosts(ctx, p.Hosts().Version)
	if ctx.Err() != nil {
		return
	}
	p.logAvailability(err)
	if err == nil && newer {
		p.apply(&list)
	}
}

// logAvailability logs the first of consecutive failures and the recovery.
func (p *Poller) logAvailability(err error) {
	failing := err != nil
	if failing == p.failing {
		return
	}
	p.failing = failing
	if failing {
		p.logger.Log("event", "host_list_unavailable", "err", err)
		return
	}
	p.logger.Log("event", "host_list_available")
}

// apply replaces the list or merges changes into it. It ignores a list that is
// not newer, and changes since a version that this poller does not have.
func (p *Poller) apply(list *HostList) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if list.Version <= p.list.Version || list.Since > p.list.Version {
		return
	}
	if list.Since > 0 {
		list = p.list.merge(list)
	}
	p.list = list
	close(p.changed)
	p.changed = make(chan struct{})
}
