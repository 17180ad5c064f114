package election

import "time"

// The delays of a campaign, as parts of the check interval.
const (
	// hopDelayParts: each controller in a row that workers may try in vain delays the campaign by one of these parts.
	hopDelayParts = 4
	// maxDelayedHops bounds the controllers that count.
	maxDelayedHops = 2
	// poorCandidateDelayParts: a candidate that would be a poor leader waits for one of these parts more.
	poorCandidateDelayParts = 2
)

// minTermLeases is for how long a leader stays before it hands over to a better one, in workers' leases.
const minTermLeases = 2

// campaignDelay gives how long a candidate waits after the leadership fell vacant, so that a better one wins.
func (e *Election) campaignDelay() time.Duration {
	self := e.members.Self().Name
	extraHops := max(0, e.ring.failoverHops(self)-1)
	delay := e.timing.CheckInterval / hopDelayParts * time.Duration(min(maxDelayedHops, extraHops))
	if e.ring.sharesZoneWithSuccessor(self) || e.successorDown(self, 0) && e.anyCandidate(e.successorUp) {
		delay += e.timing.CheckInterval / poorCandidateDelayParts
	}
	return delay
}

// anyCandidate reports whether another controller that could lead is a suitable one.
func (e *Election) anyCandidate(suitable func(name string) bool) bool {
	for _, p := range e.members.Peers() {
		if e.members.RecentlyHeard(p, e.host.Now()) && !p.Status().StoreDown && suitable(p.Name()) {
			return true
		}
	}
	return false
}

// successorDown reports whether the controller that workers try after a given one has not answered for longer than a time.
// Were the given one to lead and then to hang, its workers would wait for both in turn, which takes all of their lease.
func (e *Election) successorDown(name string, silence time.Duration) bool {
	p := e.members.Peer(e.ring.successor(name).Name)
	return p != nil && e.members.SuspectedDown(p, e.host.Now(), silence)
}

// successorUp reports whether the controller that workers try after a given one is not known to be out of reach.
func (e *Election) successorUp(name string) bool { return !e.successorDown(name, 0) }

// suitableLeader reports whether workers of a leader would find the next one quickly: its successor is in another zone, and
// has not been silent for as long as a worker's lease.
func (e *Election) suitableLeader(name string) bool {
	return !e.ring.sharesZoneWithSuccessor(name) && !e.successorDown(name, e.timing.WorkerLease)
}

// betterCandidateExists reports whether this leader is not suitable while another node has been there for a while that is.
func (e *Election) betterCandidateExists() bool {
	if !e.host.HasTimeToSpare() {
		return false
	}
	now := e.host.Now()
	if now-e.termStartedAt < minTermLeases*e.timing.WorkerLease || e.suitableLeader(e.members.Self().Name) {
		return false
	}
	for _, p := range e.members.Peers() {
		// After a partition the nodes are heard again one after the other.
		if e.members.RecentlyHeard(p, now) && !e.members.ReachableForChecks(p, now) {
			return false
		}
	}
	return e.anyCandidate(e.suitableLeader)
}
