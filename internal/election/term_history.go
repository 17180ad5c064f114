package election

import "time"

// termHistory records when the recent terms started. A leader that is short of CPU time may lose its lease while all
// workers fail over to it. If each failover takes longer than the lease lasts, the next leader fails the same way.
// Terms that follow each other quickly therefore get longer leases, provided that the last leader is still running
// (lastLeaderAlive).
type termHistory struct {
	term   uint64
	starts []time.Duration // starts of the recent terms on this node's clock, oldest first
}

const (
	// recentTermLeases is how long the start of a term counts as recent, in worker leases.
	recentTermLeases = 3
	// maxRecentTerms limits how many starts are stored. Fewer are enough to reach the longest lease.
	maxRecentTerms = 8
	// maxTTLLeases is the longest time to live of a leader's lease, in worker leases. After a leader has failed, its
	// workers depend on the other nodes to renew their leases until the leader's lease expires and the next term
	// starts.
	maxTTLLeases = 0.5
)

// observe records the newest known term.
func (h *termHistory) observe(now time.Duration, term uint64) {
	if term <= h.term {
		return
	}
	if h.term != 0 { // the first term that a process observes may have started long ago
		h.starts = append(h.starts, now)
	}
	h.term = term
	if len(h.starts) > maxRecentTerms {
		h.starts = h.starts[1:]
	}
}

// leaseTTL returns the time to live of the lease of a term that starts now. It is doubled for each recent term.
func (h *termHistory) leaseTTL(now time.Duration, timing Timing) time.Duration {
	ttl := timing.LeaseTTL
	longest := max(ttl, time.Duration(maxTTLLeases*float64(timing.WorkerLease)))
	for _, start := range h.starts {
		if now-start < recentTermLeases*timing.WorkerLease {
			ttl = min(2*ttl, longest)
		}
	}
	return ttl
}
