package core

import (
	"time"

	"bitternwing/internal/membership"
)

// Status is a node's status as shown to operators.
type Status struct {
	Leading       bool
	TermsLed      uint64  // terms led since the process started
	Load          float64 // shortage of CPU time, from 0 (none) to 1
	HeldResponses int     // heartbeat responses that are held back
	Machines      int     // machines managed as the leader
	Size          StepSize

	Term         uint64        // newest term that this node knows
	HasAuthority bool          // this node leads, and its lease is valid or all peers confirm an outage of the key-value store
	Recovering   time.Duration // time since the term of this leader began, until its recovery is complete; otherwise 0
	// LeaseRenewals counts the responses that renewed workers' leases, and CancelledStops the stops of cancelled tasks
	// in them, by basis.
	LeaseRenewals, CancelledStops [LeaseBasisCount]uint64
	Revision                      uint64 // revision up to which this node has read the changes of jobs; 0: it has not read them yet
	// StoreDown is set if the last calls to the key-value store found it unavailable.
	StoreDown bool
}

// Status returns this node's status at a time.
func (c *Core) Status(now time.Duration) Status {
	s := Status{TermsLed: c.election.TermsLed(), Load: c.timerLoad.Level(now), Term: c.cache.Term().Number,
		LeaseRenewals: c.leaseRenewals.responses, CancelledStops: c.leaseRenewals.stops,
		Revision: c.readRevision(), StoreDown: c.storeHealth.down, Size: c.StepSize()}
	if c.leader != nil {
		c.leader.addStatus(&s, now)
	}
	return s
}

// addStatus adds a leader's part of the status.
func (l *leader) addStatus(s *Status, now time.Duration) {
	s.Leading, s.Machines, s.Term = true, len(l.machines), max(s.Term, l.term)
	s.HasAuthority = l.hasAuthorityAt(now)
	if !l.recovered {
		s.Recovering = now - l.startedAt
	}
	for _, m := range l.machinesByName {
		if m.heldResponse != nil {
			s.HeldResponses++
		}
	}
}

// PeerStatus returns the status that this node reports to its peers.
func (c *Core) PeerStatus() membership.Status {
	s := membership.Status{StoreDown: c.storeHealth.down || !c.cache.Ready(), Term: c.cache.Term().Number, HeartbeatAge: -1,
		Revision: c.readRevision(), MaxRecordLayout: recordLayoutByTask, SupportsRollouts: true}
	if c.leader != nil {
		s.Leading = true
		s.UnreachableZones = c.leader.liveness.unreachableZones
		s.UnresolvedCancellations, s.MoreUnresolved = c.leader.unresolvedJobs()
		s.Term = max(s.Term, c.leader.term)
	}
	if c.lastHeartbeat >= 0 {
		s.HeartbeatAge = c.now.Steady - c.lastHeartbeat
	}
	return s
}

// readRevision returns the revision up to which the changes of jobs have been read; 0 if they have not been read yet.
func (c *Core) readRevision() uint64 {
	if !c.cache.Ready() {
		return 0
	}
	return c.cache.Revision()
}

// Healthy reports to the load balancer whether this node takes requests. A node that sheds load does not, nor does one
// to which the key-value store is unavailable while others can reach it. If the store is unavailable to all nodes, all
// remain healthy: users get a 503 at once, and no node has to be registered again afterwards.
func (c *Core) Healthy() bool {
	if c.shedding {
		return false
	}
	if !c.cache.Ready() || !c.catalog.known() {
		// A node that was started during an outage for all nodes is as healthy as the others.
		return c.storeHealth.down && len(c.members.Peers()) > 0 && c.members.AllPeersLostStore(c.now.Steady)
	}
	if !c.storeHealth.down || c.storeHealth.answeredRecently() {
		return true
	}
	return c.storeOutageConfirmed()
}
