package core

import "bitternwing/internal/outcome"

// queryStatus queries a worker that has sent this node no heartbeat for a while, if a query is due. A machine that is
// down, hung or unreachable does not answer. A worker that has not found the leader yet answers with its tasks.
func (lm *livenessMonitor) queryStatus(m *machine) {
	if m.lastHeardDirectlyOrRelayed() > m.queriedAt {
		m.unansweredQueries = 0
	}
	if !m.hasEverReported() || m.releasing || m.addr == "" || !lm.statusQueryDue(m) {
		return
	}
	m.queryInFlight, m.queriedAt = true, lm.core.now.Steady
	lm.queriesInFlight++
	query := statusQuery{monitor: lm, machine: m}
	id := lm.calls.registerCall(query.applyResult)
	lm.core.emit(QueryWorker{CallID: id, Addr: m.addr})
}

// statusQueryDue reports whether a machine has been silent for long enough and the last query was sent long enough ago.
// It returns false while the machine has a query in flight or too many queries are in flight in all.
func (lm *livenessMonitor) statusQueryDue(m *machine) bool {
	if m.queryInFlight || lm.queriesInFlight >= lm.maxStatusQueries() {
		return false
	}
	now := lm.core.now.Steady
	silence := lm.core.pacer.HeartbeatTimeout(lm.core.times.lease/4, m.lastHoldTime)
	return now-m.lastHeardDirectly() >= silence && now-m.queriedAt >= lm.core.times.checkInterval
}

// statusQuery is a query for the status of a machine's worker.
type statusQuery struct {
	monitor *livenessMonitor
	machine *machine
}

func (q statusQuery) applyResult(result Result) {
	lm, m := q.monitor, q.machine
	m.queryInFlight = false
	lm.queriesInFlight--
	switch {
	case result.Outcome == outcome.Dropped:
		// The query was not sent.
	case result.Outcome != outcome.OK:
		m.unansweredQueries++
	case result.Heartbeat.Machine == m.name:
		m.queryAnsweredAt = lm.core.now.Steady
		lm.heartbeats.reconcileIndirect(&result.Heartbeat, originRequested)
	}
}

// maxStatusQueries returns the limit on concurrent status queries, which bounds the sockets that they use.
func (lm *livenessMonitor) maxStatusQueries() int {
	return max(4, lm.core.settings.Params.Limits.MaxConnections/40)
}
