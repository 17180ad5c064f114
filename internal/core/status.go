package core

import "time"

// Status is what a node shows of itself to its operators.
type Status struct {
	Leading     bool
	TermsLed    uint64  // since the process began
	Load        float64 // how short of processor time it is, between 0 and 1
	HeldAnswers int     // to reports
	Machines    int     // that it looks after as the leader
}

// Status gives how this node does at a time.
func (c *Core) Status(now time.Duration) Status {
	s := Status{TermsLed: c.elect.termsLed, Load: c.load.Level(now)}
	if l := c.lead; l != nil {
		s.Leading, s.Machines = true, len(l.machines)
		for _, m := range l.fleet {
			if m.held != nil {
				s.HeldAnswers++
			}
		}
	}
	return s
}
