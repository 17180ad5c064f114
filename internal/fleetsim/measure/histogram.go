package measure

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxValue is the end of the range of a histogram: an hour, in milliseconds.
const (
	maxValue          = 3_600_000
	significantDigits = 3
)

// Histogram is a histogram of durations in milliseconds, or of values in another unit. It is safe for concurrent use.
type Histogram struct {
	mu     sync.Mutex
	values *hdrhistogram.Histogram
}

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{values: hdrhistogram.New(1, maxValue, significantDigits)}
}

// Add adds a duration.
func (h *Histogram) Add(duration time.Duration) { h.AddValue(duration.Milliseconds()) }

// AddValue adds a value. Values outside of 0 to maxValue count as the nearest value in the range.
func (h *Histogram) AddValue(value int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.values.RecordValue(min(max(value, 0), maxValue)) // never fails within the range
}

// Summary holds summary statistics of a histogram.
type Summary struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   int64   `json:"p50"`
	P99   int64   `json:"p99"`
	Max   int64   `json:"max"`
}

// Summary returns the statistics of the values so far.
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
