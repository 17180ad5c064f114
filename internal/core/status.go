package core

import (
	"time"

	"bitternwing/internal/membership"
)

// Status is what a controller shows of itself to its operators.
type Status struct {
	Leading       bool
	TermsLed      uint64  // since the process began
	Load          float64 // how short of processor time it is, between 0 and 1
	HeldResponses int     // responses to heartbeats that are held
	Machines      int     // that it manages as the leader

	Term         uint64        // the newest term that it knows
	HasAuthority bool          // as a leader: its lease is valid, or an outage of the key-value store is confirmed by all
	Recovering   time.Duration // for how long it has led without having recovered the state; 0: it has, or does not lead
	// LeaseRenewals are the responses that renewed workers' leases, and CancelledStops the cancelled tasks that they
	// stopped, by basis.
	LeaseRenewals, CancelledStops [LeaseBasisCount]uint64
	Revision                      uint64 // up to which it has read the changes of jobs; 0: not yet
	// StoreDown is set if the key-value store did not serve it last.
	StoreDown bool
}

// Status gives this controller's status at a time.
func (c *Core) Status(now time.Duration) Status {
	s := Status{TermsLed: c.election.TermsLed(), Load: c.timerLoad.Level(now), Term: c.cache.Term().Number,
		LeaseRenewals: c.leaseRenewals.responses, CancelledStops: c.leaseRenewals.stops,
		Revision: c.readRevision(), StoreDown: c.storeHealth.down}
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

// PeerStatus is what this controller says of itself to the others.
func (c *Core) PeerStatus() membership.Status {
	s := membership.Status{StoreDown: c.storeHealth.down || !c.cache.Ready(), Term: c.cache.Term().Number, HeartbeatAge: -1,
		Revision: c.readRevision(), RecordLayouts: recordLayoutByTask, SupportsRollouts: true}
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

// readRevision is the revision up to which the changes of jobs are read; 0: they are yet to be.
func (c *Core) readRevision() uint64 {
	if !c.cache.Ready() {
		return 0
	}
	return c.cache.Revision()
}

// Healthy tells the load balancer whether this controller takes requests. One that alone is not served by the key-value
// store does not, nor one that sheds load. In an outage that concerns all of them they stay healthy, so that users get their
// 503 at once and nothing has to be registered again afterwards.
func (c *Core) Healthy() bool {
	if c.shedding {
		return false
	}
	if !c.cache.Ready() || !c.catalog.known() {
		// Started during an outage for all: healthy like the others.
		return c.storeHealth.down && len(c.members.Peers()) > 0 && c.members.AllPeersLostStore(c.now.Steady)
	}
	if !c.storeHealth.down || c.storeHealth.servedLately() {
		return true
	}
	return c.storeOutageConfirmed()
}
