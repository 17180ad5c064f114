package core

import (
	"net/http"

	"bitternwing/internal/fencing"
	"bitternwing/internal/wire"
)

// handleHeartbeat responds to a worker's heartbeat.
func (c *Core) handleHeartbeat(in WorkerHeartbeat) {
	c.lastHeartbeat = c.now.Steady
	switch {
	case c.leader == nil:
		c.handleHeartbeatAsFollower(in)
	case c.leader.mayRespond(in.Heartbeat):
		c.leader.handleHeartbeat(in)
	default:
		c.handleHeartbeatWithoutAuthority(in)
	}
}

// handleHeartbeatAsFollower renews the worker's lease if a node that does not lead may do so, and otherwise redirects
// the worker to the leader.
func (c *Core) handleHeartbeatAsFollower(in WorkerHeartbeat) {
	if !c.leaseRelay.handleHeartbeat(in) {
		c.respond(in.RequestID, http.StatusMisdirectedRequest, wire.Redirect{Leader: c.redirectTarget()})
	}
}

// redirectTarget returns the node to which workers are redirected. It is empty if no other node is known to lead.
func (c *Core) redirectTarget() string {
	if c.cache.HasLeader() && c.cache.Leader().Node != c.settings.Node {
		return c.cache.Leader().Node
	}
	if !c.cache.Ready() {
		return c.members.Leader(c.now.Steady) // this node was started during a store outage
	}
	return ""
}

// handleHeartbeatWithoutAuthority handles a heartbeat to which this node may not respond as the leader.
func (c *Core) handleHeartbeatWithoutAuthority(in WorkerHeartbeat) {
	if len(in.Heartbeat.Tasks) > 0 && c.storeHealth.down && c.leaseRelay.renewDuringStoreOutage(in) {
		return
	}
	c.respond(in.RequestID, http.StatusMisdirectedRequest, wire.Redirect{})
}

// mayRespond reports whether this leader may respond to a heartbeat. A worker that has seen a newer term would discard
// the response, and a leader whose own lease has expired may have no authority.
func (l *leader) mayRespond(heartbeat *wire.Heartbeat) bool {
	return fencing.TermOf(heartbeat.FencingToken) <= l.term && l.hasAuthority()
}

// handleHeartbeat reconciles the state with a heartbeat and renews the worker's lease, either now or by a held
// response.
func (l *leader) handleHeartbeat(in WorkerHeartbeat) {
	c, heartbeat := l.core, in.Heartbeat
	changesBefore := l.reconciler.changes.count
	response := c.newLeaseResponse(heartbeat)
	basis := l.reconciler.reconcileHeartbeat(heartbeat, response)
	token := l.reconciler.responseToken(heartbeat)
	if !l.heldResponses.hold(in.RequestID, heartbeat, token, response) {
		c.renewLease(in.RequestID, basis, token, response)
	}
	c.nothingChanged = l.recovered && l.reconciler.changes.count == changesBefore && len(response.commands) == 0
}

// responseToken returns the fencing token of the response to a heartbeat.
func (r *reconciler) responseToken(heartbeat *wire.Heartbeat) uint64 {
	token := max(fencing.FirstToken(r.term), heartbeat.FencingToken)
	m := r.machines[heartbeat.Machine]
	if m == nil {
		return token
	}
	m.fence.Observe(token)
	return m.fence.Token()
}
