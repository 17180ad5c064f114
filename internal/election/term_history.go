package election

import "time"

// termHistory remembers when the last terms began. A leader that is short of processor time may lose its lease while all
// workers come to it, and so may the next one, for as long as each failover takes longer than a lease lives. Terms that
// follow each other quickly therefore get longer leases, where the last leader still runs (lastLeaderAlive).
type termHistory struct {
	term   uint64
	starts []time.Duration // of the last terms, by this node's clock, oldest first
}

const (
	// recentTermLeases is for how long the start of a term counts, in workers' leases.
	recentTermLeases = 3
	// maxRecentTerms bounds the starts that are remembered: the longest lease is reached before.
	maxRecentTerms = 8
	// maxTTLLeases is the longest life of a leader's lease, in workers' leases. Workers whose leader has ended are kept
	// alive by the nodes that they come to, until it expires and the next leader begins.
	maxTTLLeases = 0.5
)

// observe takes in the term as it is known now.
func (h *termHistory) observe(now time.Duration, term uint64) {
	if term <= h.term {
		return
	}
	if h.term != 0 { // the first one that a process hears of may be old
		h.starts = append(h.starts, now)
	}
	h.term = term
	if len(h.starts) > maxRecentTerms {
		h.starts = h.starts[1:]
	}
}

// leaseTTL gives the life of the lease for a term that begins now: twice as long for each term that began lately.
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
