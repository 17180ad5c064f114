package election

import (
	"testing"
	"time"
)

// TestLeaseTTLAfterFrequentTerms: each recent term doubles the time to live of the leader's lease, up to a limit.
func TestLeaseTTLAfterFrequentTerms(t *testing.T) {
	const second = time.Second
	timing := Timing{LeaseTTL: 2 * second, WorkerLease: 10 * second}
	for _, tt := range []struct {
		name   string
		starts []time.Duration // starts of terms; the process observes the first one when it starts
		want   time.Duration
	}{
		{"the first term", []time.Duration{1 * second}, 2 * second},
		{"one takeover", []time.Duration{1 * second, 95 * second}, 4 * second},
		{"two takeovers", []time.Duration{1 * second, 90 * second, 95 * second}, 5 * second},
		{"many takeovers", []time.Duration{1 * second, 80 * second, 85 * second, 90 * second, 95 * second}, 5 * second},
		{"takeovers long ago", []time.Duration{1 * second, 20 * second, 30 * second, 40 * second}, 2 * second},
	} {
		h := &termHistory{}
		for i, at := range tt.starts {
			h.observe(at, uint64(i+1))
		}
		if got := h.leaseTTL(100*second, timing); got != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
	}
}
