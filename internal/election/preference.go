package election

import "time"

// Delays before a campaign, as fractions of CheckInterval.
const (
	// hopDelayDivisor divides CheckInterval into the delay for each node in a row, after the first, that workers may
	// try in vain.
	hopDelayDivisor = 4
	// maxDelayedHops limits how many of these nodes are counted.
	maxDelayedHops = 2
	// poorCandidateDelayDivisor divides CheckInterval into the additional delay of a candidate that would be a poor
	// leader.
	poorCandidateDelayDivisor = 2
)

// minTermLeases is the time that a leader leads before it hands over to a better candidate, in worker leases.
const minTermLeases = 2

// campaignDelay returns how long a candidate waits after the leadership became vacant, so that a better candidate wins.
func (e *Election) campaignDelay() time.Duration {
	self := e.members.Self().Name
	extraHops := max(0, e.ring.failoverHops(self)-1)
	delay := e.timing.CheckInterval / hopDelayDivisor * time.Duration(min(maxDelayedHops, extraHops))
	if e.ring.sharesZoneWithSuccessor(self) || e.successorDown(self, 0) && e.anyCandidate(e.successorUp) {
		delay += e.timing.CheckInterval / poorCandidateDelayDivisor
	}
	return delay
}

// anyCandidate reports whether some other node is able to lead and satisfies the predicate.
func (e *Election) anyCandidate(suitable func(name string) bool) bool {
	for _, p := range e.members.Peers() {
		if e.members.RecentlyHeard(p, e.host.Now()) && !p.Status().StoreDown && suitable(p.Name()) {
			return true
		}
	}
	return false
}

// successorDown reports whether the successor of the named node has not answered for longer than the timeout. If the
// named node led and then hung, its workers would wait for both in turn, which takes their whole lease.
func (e *Election) successorDown(name string, timeout time.Duration) bool {
	p := e.members.Peer(e.ring.successor(name).Name)
	return p != nil && e.members.SuspectedDown(p, e.host.Now(), timeout)
}

// successorUp reports whether the successor of the named node is not suspected to be down.
func (e *Election) successorUp(name string) bool { return !e.successorDown(name, 0) }

// suitableLeader reports whether workers would find the next leader quickly if the named node led. Its successor must
// be in another zone and must have answered within the duration of a worker's lease.
func (e *Election) suitableLeader(name string) bool {
	return !e.ring.sharesZoneWithSuccessor(name) && !e.successorDown(name, e.timing.WorkerLease)
}

// betterCandidateExists reports whether this leader is not suitable and another node is. It waits until all nodes that
// were recently heard from have been reachable for some checks.
func (e *Election) betterCandidateExists() bool {
	if !e.host.HasSpareCPU() {
		return false
	}
	now := e.host.Now()
	if now-e.termStartedAt < minTermLeases*e.timing.WorkerLease || e.suitableLeader(e.members.Self().Name) {
		return false
	}
	for _, p := range e.members.Peers() {
		// After a network partition the nodes become reachable one after another.
		if e.members.RecentlyHeard(p, now) && !e.members.ReachableForChecks(p, now) {
			return false
		}
	}
	return e.anyCandidate(e.suitableLeader)
}
