package core

import "time"

// termHistory remembers when the last terms began. A leader that is short of processor time may lose its lease while
// all workers come to it, and so may the next one, for as long as each takeover costs more than a lease's time. Terms
// that follow each other quickly therefore get longer leases, where the last leader has not ended (lastLeaderIsThere).
type termHistory struct {
	term   uint64
	begins []time.Duration // of the last terms, by this node's clock, oldest first
}

const (
	// recentTermLeases is for how long the begin of a term counts, in workers' leases.
	recentTermLeases = 3
	// mostRecentTerms bounds the begins that are remembered: the longest lease is reached before.
	mostRecentTerms = 8
	// longestTTLLeases is the longest life of a leader's lease, in workers' leases. Workers whose leader has
	// ended are kept alive by the nodes they come to, until then and the next leader's begin.
	longestTTLLeases = 0.5
)

// notice takes in the term as it is known now.
func (h *termHistory) notice(now time.Duration, term uint64) {
	if term <= h.term {
		return
	}
	if h.term != 0 { // the first one that a process hears of may be old
		h.begins = append(h.begins, now)
	}
	h.term = term
	if len(h.begins) > mostRecentTerms {
		h.begins = h.begins[1:]
	}
}

// leaseTTL gives the life of the lease for a term that begins now: twice as long for each term that began lately.
func (h *termHistory) leaseTTL(now time.Duration, t times) time.Duration {
	ttl := t.leaderTTL
	longest := max(ttl, time.Duration(longestTTLLeases*float64(t.lease)))
	for _, began := range h.begins {
		if now-began < recentTermLeases*t.lease {
			ttl = min(2*ttl, longest)
		}
	}
	return ttl
}
