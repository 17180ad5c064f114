package election

import (
	"testing"
	"time"
)

// TestLeaseAfterQuickTerms: the lease of a leader is longer the more terms began lately, up to a bound.
func TestLeaseAfterQuickTerms(t *testing.T) {
	const second = time.Second
	timing := Timing{LeaseTTL: 2 * second, WorkerLease: 10 * second}
	for _, x := range []struct {
		name   string
		begins []time.Duration // of terms, the first of which a process heard of at its start
		want   time.Duration
	}{
		{"the first term", []time.Duration{1 * second}, 2 * second},
		{"one takeover", []time.Duration{1 * second, 95 * second}, 4 * second},
		{"two", []time.Duration{1 * second, 90 * second, 95 * second}, 5 * second},
		{"many", []time.Duration{1 * second, 80 * second, 85 * second, 90 * second, 95 * second}, 5 * second},
		{"long ago", []time.Duration{1 * second, 20 * second, 30 * second, 40 * second}, 2 * second},
	} {
		h := &termHistory{}
		for i, at := range x.begins {
			h.observe(at, uint64(i+1))
		}
		if got := h.leaseTTL(100*second, timing); got != x.want {
			t.Errorf("%s: %v, want %v", x.name, got, x.want)
		}
	}
}
