package core

// requireFencingToken makes a machine show a fencing token before it gets work. One that does not for half a lease is
// released (responsesLost).
func (l *leader) requireFencingToken(m *machine, token uint64) {
	m.fence.Require(token, l.core.now.Steady)
	l.observedChanges++
}

// responsesLost reports whether a machine's heartbeats have arrived for half a lease without showing that responses reach it.
// The time in which this leader could not respond does not count.
func (l *leader) responsesLost(m *machine) bool {
	now := l.core.now.Steady
	if !m.fence.Required() || now-m.lastHeartbeat >= l.core.times.heartbeatTimeout {
		return false
	}
	return now-max(m.fence.RequiredSince(), l.lastWithoutAuthority) > l.core.times.lease/2
}
