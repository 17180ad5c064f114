package core

import (
	"time"

	"bitternwing/internal/wire"
)

// LeaseBasis is why a node may answer a report so that the worker's lease is renewed.
type LeaseBasis int

// The bases. LeaseBases is how many there are.
const (
	// LeaderBasis: this node leads and has read the records.
	LeaderBasis LeaseBasis = iota
	// UnreadLeaderBasis: it leads, and has yet to read the records.
	UnreadLeaderBasis
	// LateReportBasis: it leads, and the report is older than one that it has taken in.
	LateReportBasis
	// GoneMachineBasis: it leads, and the machine was given back or is gone otherwise.
	GoneMachineBasis
	// RelayBasis: another node leads that the worker can't reach.
	RelayBasis
	// VacancyBasis: nobody leads, between two terms.
	VacancyBasis
	// NoStateBasis: the state service serves no node that answers, and none of them leads.
	NoStateBasis
	// CutZoneBasis: the zone of this node and of the worker is cut off.
	CutZoneBasis
	LeaseBases
)

// leaseBasisNames are the names in logs and metrics.
var leaseBasisNames = [LeaseBases]string{"leader", "unread_leader", "late_report", "gone_machine", "relay", "vacancy", "no_state", "cut_zone"}

// String names a basis in logs and metrics.
func (b LeaseBasis) String() string { return leaseBasisNames[b] }

// leaseRenewals counts the answers that renew leases, by their basis.
type leaseRenewals struct {
	answers [LeaseBases]uint64
	lastAt  [LeaseBases]time.Duration
}

// renewLease answers a report with 200, which renews the worker's lease. No other code does.
func (c *Core) renewLease(req uint64, basis LeaseBasis, answer wire.ReportAnswer) {
	c.countRenewal(basis)
	c.answer(req, 200, answer)
}

// countRenewal counts an answer. The first one on a basis, or the first for a lease, is logged.
func (c *Core) countRenewal(basis LeaseBasis) {
	last := &c.renewals.lastAt[basis]
	if *last == 0 || c.now.Steady-*last > c.t.lease {
		c.log(Debug, "renews leases", "basis", basis, "answers_before", c.renewals.answers[basis])
	}
	*last = c.now.Steady
	c.renewals.answers[basis]++
}
