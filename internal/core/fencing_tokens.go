package core

// requireFencingToken makes a machine show a fencing token before it gets work. One that does not for half a lease is
// released (livenessMonitor).
func (l *leader) requireFencingToken(m *machine, token uint64) {
	m.fence.Require(token, l.core.now.Steady)
	l.observedChanges++
}
