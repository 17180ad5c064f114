package core

// A leader is unread from its win until it has read the run records and all changes up to its win. It answers reports,
// since the workers' leases would run out, stops what it knows to be cancelled as any node does that renews a lease, and
// decides nothing else.

// recoveryStats is what a leader keeps of the time in which it was unread.
type recoveryStats struct {
	renewalsBefore uint64 // leases that this process had renewed as an unread leader of earlier terms
	warned         bool
}

// renewalsDuringRecovery is how many leases were renewed in this term before the records were read.
func (l *leader) renewalsDuringRecovery() uint64 {
	return l.core.leaseRenewals.responses[RecoveringLeaderBasis] - l.recovery.renewalsBefore
}

// warnSlowRecovery logs, once, that a leader is unread for longer than reading should take.
func (l *leader) warnSlowRecovery() {
	c := l.core
	since := c.now.Steady - l.startedAt
	if l.recovery.warned || since < c.times.checkInterval {
		return
	}
	l.recovery.warned = true
	c.log(Info, "leader still recovering state", "term", l.term, "records_read", l.allRecordsRead,
		"revision", c.cache.Revision(), "required_revision", l.termVersion, "leases_renewed", l.renewalsDuringRecovery())
}

// logFailover logs what a new leader has waited for, and what it did meanwhile.
func (l *leader) logFailover() {
	now := l.core.now.Steady
	l.core.log(Debug, "failover completed", "term", l.term, "after_ms", (now - l.startedAt).Milliseconds(),
		"records_ms", (l.recordsReadAt - l.startedAt).Milliseconds(), "revision", l.core.cache.Revision(), "leases_renewed", l.renewalsDuringRecovery())
}
