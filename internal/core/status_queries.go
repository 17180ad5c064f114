package core

import "bitternwing/internal/outcome"

// queryStatus queries the status of a machine that has sent no heartbeat here for a while: one that hangs, is dead or out
// of reach does not answer; one that has yet to find the leader does, and shows its tasks.
func (v *livenessMonitor) queryStatus(m *machine) {
	if m.lastHeardDirectlyOrRelayed() > m.queriedAt {
		m.unansweredQueries = 0
	}
	if !m.hasEverReported() || m.releasing || m.addr == "" || !v.statusQueryDue(m) {
		return
	}
	m.queryInFlight, m.queriedAt = true, v.core.now.Steady
	v.queriesInFlight++
	query := statusQuery{monitor: v, machine: m}
	id := v.calls.registerCall(query.applyResult)
	v.core.emit(QueryWorker{CallID: id, Addr: m.addr})
}

// statusQueryDue tells whether a machine has been silent, and not been queried, for long enough.
func (v *livenessMonitor) statusQueryDue(m *machine) bool {
	if m.queryInFlight || v.queriesInFlight >= v.maxStatusQueries() {
		return false
	}
	now := v.core.now.Steady
	silence := v.core.pacer.HeartbeatTimeout(v.core.times.lease/4, m.lastHoldTime)
	return now-m.lastHeardDirectly() >= silence && now-m.queriedAt >= v.core.times.checkInterval
}

// statusQuery is a query for a machine's status.
type statusQuery struct {
	monitor *livenessMonitor
	machine *machine
}

func (q statusQuery) applyResult(result Result) {
	v, m := q.monitor, q.machine
	m.queryInFlight = false
	v.queriesInFlight--
	switch {
	case result.Outcome == outcome.Dropped:
		// The query was not sent.
	case result.Outcome != outcome.OK:
		m.unansweredQueries++
	case result.Heartbeat.Machine == m.name:
		m.queryAnsweredAt = v.core.now.Steady
		v.heartbeats.reconcileIndirect(&result.Heartbeat, originQuery)
	}
}

// maxStatusQueries bounds the sockets that status queries take.
func (v *livenessMonitor) maxStatusQueries() int {
	return max(4, v.core.settings.Params.Limits.MaxConnections/40)
}
