package core

import "time"

// Status is what a node shows of itself to its operators.
type Status struct {
	Leading     bool
	TermsLed    uint64  // since the process began
	Load        float64 // how short of processor time it is, between 0 and 1
	HeldAnswers int     // to reports
	Machines    int     // that it looks after as the leader

	Term     uint64        // the newest that it knows
	Entitled bool          // as a leader to act: by its lease, or since the state service refuses all nodes
	Unread   time.Duration // for how long it has led without the records; 0 once it has read them
	// Renewals are its answers that renewed workers' leases, and CancelledStops the cancelled tasks that they stopped, by basis.
	Renewals, CancelledStops [LeaseBases]uint64
	Revision                 uint64 // up to which it has read the changes of jobs; 0: not yet
	// StateDown tells that the state service did not serve it last.
	StateDown bool
}

// Status gives how this node does at a time.
func (c *Core) Status(now time.Duration) Status {
	s := Status{TermsLed: c.elect.termsLed, Load: c.load.Level(now), Term: c.dir.term.Term, Renewals: c.renewals.answers,
		CancelledStops: c.renewals.stops, StateDown: c.stateDown}
	if c.dir.ready {
		s.Revision = c.dir.revision
	}
	if l := c.lead; l != nil {
		s.Leading, s.Machines, s.Term = true, len(l.machines), max(s.Term, l.term)
		s.Entitled = c.elect.leaseGood(now) || c.allRefused()
		if !l.loaded {
			s.Unread = now - l.since
		}
		for _, m := range l.fleet {
			if m.held != nil {
				s.HeldAnswers++
			}
		}
	}
	return s
}
