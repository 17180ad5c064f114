package measure

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxMilliseconds   = 3_600_000
	significantDigits = 3
)

// Histogram keeps times, to the millisecond.
type Histogram struct {
	mu     sync.Mutex
	values *hdrhistogram.Histogram
}

// NewHistogram makes an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{values: hdrhistogram.New(1, maxMilliseconds, significantDigits)}
}

// Add adds a time; what is beyond the range counts as its end.
func (h *Histogram) Add(duration time.Duration) { h.AddValue(duration.Milliseconds()) }

// AddValue adds a value of another unit.
func (h *Histogram) AddValue(value int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.values.RecordValue(min(max(value, 0), maxMilliseconds)) // within its range
}

// Summary summarizes a histogram.
type Summary struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   int64   `json:"p50"`
	P99   int64   `json:"p99"`
	Max   int64   `json:"max"`
}

// Summary gives the figures.
func (h *Histogram) Summary() Summary {
	h.mu.Lock()
	defer h.mu.Unlock()
	return Summary{
		Count: h.values.TotalCount(),
		Mean:  h.values.Mean(),
		P50:   h.values.ValueAtQuantile(50),
		P99:   h.values.ValueAtQuantile(99),
		Max:   h.values.Max(),
	}
}
