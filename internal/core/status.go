package core

import "time"

// Status is what a node shows of itself to its operators.
type Status struct {
	Leading       bool
	TermsLed      uint64  // since the process began
	Load          float64 // how short of processor time it is, between 0 and 1
	HeldResponses int     // to reports
	Machines      int     // that it looks after as the leader

	Term         uint64        // the newest that it knows
	HasAuthority bool          // as a leader to act: by its lease, or since the state service refuses all nodes
	Recovering   time.Duration // for how long it has led without the records; 0 once it has read them
	// Renewals are its answers that renewed workers' leases, and CancelledStops the cancelled tasks that they stopped, by basis.
	LeaseRenewals, CancelledStops [LeaseBasisCount]uint64
	Revision                      uint64 // up to which it has read the changes of jobs; 0: not yet
	// StoreDown tells that the state service did not serve it last.
	StoreDown bool
}

// Status gives how this node does at a time.
func (c *Core) Status(now time.Duration) Status {
	s := Status{TermsLed: c.election.TermsLed(), Load: c.timerLoad.Level(now), Term: c.cache.Term().Number, LeaseRenewals: c.leaseRenewals.responses,
		CancelledStops: c.leaseRenewals.stops, StoreDown: c.storeDown}
	if c.cache.Ready() {
		s.Revision = c.cache.Revision()
	}
	if l := c.leader; l != nil {
		s.Leading, s.Machines, s.Term = true, len(l.machines), max(s.Term, l.term)
		s.HasAuthority = c.election.LeaseValidAt(now) || c.storeOutageConfirmed()
		if !l.recovered {
			s.Recovering = now - l.startedAt
		}
		for _, m := range l.machinesByName {
			if m.heldResponse != nil {
				s.HeldResponses++
			}
		}
	}
	return s
}
