package owner

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Metrics are the counters and histograms of dispatching.
type Metrics struct {
	counters *expvar.Map
	mu       sync.Mutex
	latency  map[string]*hdrhistogram.Histogram
}

const (
	// histogramMax is the longest recorded duration, in µs; longer ones are
	// clamped.
	histogramMax    = int64(60 * time.Second / time.Microsecond)
	histogramDigits = 2
)

// NewMetrics returns empty metrics.
func NewMetrics() *Metrics {
	return &Metrics{counters: new(expvar.Map).Init(), latency: make(map[string]*hdrhistogram.Histogram)}
}

// Count adds to a counter.
func (m *Metrics) Count(name string, n int64) { m.counters.Add(name, n) }

// Set sets a gauge.
func (m *Metrics) Set(name string, value int) {
	v := new(expvar.Int)
	v.Set(int64(value))
	m.counters.Set(name, v)
}

// Drop removes a gauge.
func (m *Metrics) Drop(name string) { m.counters.Delete(name) }

// Observe adds to a latency histogram.
func (m *Metrics) Observe(name string, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h, ok := m.latency[name]
	if !ok {
		h = hdrhistogram.New(1, histogramMax, histogramDigits)
		m.latency[name] = h
	}
	// Out of range is the only error, and the value is clamped into it.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), histogramMax))
}

// Each calls f for each metric with its value, in no order.
func (m *Metrics) Each(f func(name string, value string)) {
	m.counters.Do(func(kv expvar.KeyValue) { f(kv.Key, kv.Value.String()) })
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, h := range m.latency {
		f(name+"_count", expvarInt(h.TotalCount()))
		f(name+"_p50_us", expvarInt(h.ValueAtQuantile(50)))
		f(name+"_p99_us", expvarInt(h.ValueAtQuantile(99)))
		f(name+"_max_us", expvarInt(h.Max()))
	}
}

func expvarInt(n int64) string {
	var v expvar.Int
	v.Set(n)
	return v.String()
}
