package inventory

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
)

// DefaultPollInterval is the time between two reads of the host list.
const DefaultPollInterval = time.Second

// Poller is a View that reads the host list at intervals. The list it shows
// never goes back to a lower version, also when the platform does.
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

// NewPoller returns a Poller that shows an empty list until Serve has read
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

// Serve reads the list until ctx ends. A failed read keeps the list.
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

// Poll reads the list once. Serve does it at intervals.
func (p *Poller) Poll(ctx context.Context) {
	list, newer, err := p.lister.Hosts(ctx, p.Hosts().Version)
	if ctx.Err() != nil {
		return
	}
	p.logChange(err)
	if err == nil && newer {
		p.show(&list)
	}
}

// logChange logs the first failure of a row and its end.
func (p *Poller) logChange(err error) {
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

func (p *Poller) show(list *HostList) {
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
