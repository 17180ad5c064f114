package membership

import "time"

// Node is a controller node and its failure domain.
type Node struct {
	Name string
	Zone string
}

// Peer is what is known about another node. A zero time means never.
type Peer struct {
	node Node

	queryInFlight  bool
	queriedAt      time.Duration // when the last query was sent
	queryCompleted bool          // at least one query was answered or failed
	reachable      bool          // the last query was answered
	reachableSince time.Duration // every query since then was answered
	heardAt        time.Duration // when a query was last answered
	relayedAt      time.Duration // when the peer last relayed heartbeats of workers through the store

	status     Status
	unresolved map[string]bool // status.UnresolvedCancellations as a set

	// The progress and the version support that a peer has once reported remain valid, so these values only grow.
	revision         uint64
	maxRecordLayout  uint32
	supportsRollouts bool
}

// Name returns the peer's name in the settings.
func (p *Peer) Name() string { return p.node.Name }

// Zone returns the peer's failure domain.
func (p *Peer) Zone() string { return p.node.Zone }

// Status returns the status in the peer's last response, or the zero value if there was none.
func (p *Peer) Status() *Status { return &p.status }

// Reachable reports whether the last query was answered.
func (p *Peer) Reachable() bool { return p.reachable }

// Revision returns the highest revision up to which the peer has reported to have read all changes of jobs.
func (p *Peer) Revision() uint64 { return p.revision }

// QueriedAt returns when the last query was sent, or 0 if none was.
func (p *Peer) QueriedAt() time.Duration { return p.queriedAt }

// QueryInFlight reports whether a query is waiting for its response.
func (p *Peer) QueryInFlight() bool { return p.queryInFlight }

// Unreachable reports whether the peer was queried and did not answer the last completed query.
func (p *Peer) Unreachable() bool { return p.queriedAt != 0 && !p.reachable }

// Unresolved reports whether, by the peer's status, a task of a cancelled job may still start or run.
func (p *Peer) Unresolved(job string) bool { return p.status.MoreUnresolved || p.unresolved[job] }

// QueryStarted records that a query is being sent.
func (p *Peer) QueryStarted(now time.Duration) {
	p.queryInFlight = true
	p.queriedAt = now
}

// QueryFailed records that a query ended without a response.
func (p *Peer) QueryFailed() {
	p.queryInFlight, p.queryCompleted = false, true
	p.reachable = false
}

// QueryAnswered records the response to a query.
func (p *Peer) QueryAnswered(now time.Duration, status Status) {
	p.queryInFlight, p.queryCompleted = false, true
	if !p.reachable {
		p.reachableSince = now
	}
	p.reachable, p.heardAt = true, now
	p.status = status
	p.unresolved = toSet(status.UnresolvedCancellations)
	p.revision = max(p.revision, status.Revision)
	p.maxRecordLayout = max(p.maxRecordLayout, status.MaxRecordLayout)
	p.supportsRollouts = p.supportsRollouts || status.SupportsRollouts
}

// toSet returns the names as a set, or nil if there are none.
func toSet(names []string) map[string]bool {
	if len(names) == 0 {
		return nil
	}
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}
