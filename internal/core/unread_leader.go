package core

// A leader is unread from its win until it has read the run records and all changes up to its win. It answers reports,
// since the workers' leases would run out, stops what it knows to be cancelled as any node does that renews a lease, and
// decides nothing else.

// unreadTerm is what a leader keeps of the time in which it was unread.
type unreadTerm struct {
	renewedBefore uint64 // leases that this process had renewed as an unread leader of earlier terms
	warned        bool
}

// unreadRenewals is how many leases were renewed in this term before the records were read.
func (l *leader) unreadRenewals() uint64 {
	return l.c.leaseRenewals.answers[RecoveringLeaderBasis] - l.unread.renewedBefore
}

// warnUnread logs, once, that a leader is unread for longer than reading should take.
func (l *leader) warnUnread() {
	c := l.c
	since := c.now.Steady - l.since
	if l.unread.warned || since < c.times.checkInterval {
		return
	}
	l.unread.warned = true
	c.log(Info, "leading without the records", "term", l.term, "records_read", l.runsAll,
		"read_up_to", c.cache.revision, "needed", l.version, "leases_renewed", l.unreadRenewals())
}

// logTakeover logs what a new leader has waited for, and what it did meanwhile.
func (l *leader) logTakeover() {
	now := l.c.now.Steady
	l.c.log(Debug, "took over", "term", l.term, "after_ms", (now - l.since).Milliseconds(),
		"records_ms", (l.runsAllAt - l.since).Milliseconds(), "read_up_to", l.c.cache.revision, "leases_renewed", l.unreadRenewals())
}
