package membership

import "time"

// Node names a controller and its failure domain.
type Node struct {
	Name string
	Zone string
}

// Peer is what is known of another controller. The zero times mean never.
type Peer struct {
	node Node

	queryInFlight  bool
	queriedAt      time.Duration // when the last query was sent
	queryCompleted bool          // a query was answered or failed
	reachable      bool          // the last query was answered
	reachableSince time.Duration // since when every query was answered
	heardAt        time.Duration // when a query was last answered
	relayedAt      time.Duration // when it last relayed heartbeats of workers by the store

	status     Status
	unresolved map[string]bool // status.UnresolvedCancellations as a set

	// What a peer has said of its progress and of its version stays true, whatever becomes of it: these only grow.
	revision         uint64
	recordLayouts    uint32
	supportsRollouts bool
}

// Name is the peer's name in the settings.
func (p *Peer) Name() string { return p.node.Name }

// Zone is the peer's failure domain.
func (p *Peer) Zone() string { return p.node.Zone }

// Status is the last status that the peer gave; the zero value if there was none.
func (p *Peer) Status() *Status { return &p.status }

// Reachable reports whether the last query was answered.
func (p *Peer) Reachable() bool { return p.reachable }

// Revision is the highest revision up to which the peer has said that it has read the changes of jobs.
func (p *Peer) Revision() uint64 { return p.revision }

// QueriedAt is when the last query was sent; 0: never.
func (p *Peer) QueriedAt() time.Duration { return p.queriedAt }

// QueryInFlight reports whether a query waits for its answer.
func (p *Peer) QueryInFlight() bool { return p.queryInFlight }

// Unreachable reports whether the peer was queried and the last completed query was not answered.
func (p *Peer) Unreachable() bool { return p.queriedAt != 0 && !p.reachable }

// Unresolved reports whether the peer's status leaves open that a cancelled job still starts or runs.
func (p *Peer) Unresolved(job string) bool { return p.status.MoreUnresolved || p.unresolved[job] }

// QueryStarted notes that a query is sent.
func (p *Peer) QueryStarted(now time.Duration) {
	p.queryInFlight = true
	p.queriedAt = now
}

// QueryFailed notes that a query ended without an answer.
func (p *Peer) QueryFailed() {
	p.queryInFlight, p.queryCompleted = false, true
	p.reachable = false
}

// QueryAnswered notes the answer to a query.
func (p *Peer) QueryAnswered(now time.Duration, status Status) {
	p.queryInFlight, p.queryCompleted = false, true
	if !p.reachable {
		p.reachableSince = now
	}
	p.reachable, p.heardAt = true, now
	p.status = status
	p.unresolved = setOf(status.UnresolvedCancellations)
	p.revision = max(p.revision, status.Revision)
	p.recordLayouts = max(p.recordLayouts, status.RecordLayouts)
	p.supportsRollouts = p.supportsRollouts || status.SupportsRollouts
}

// setOf gives the set of some names; nil for none.
func setOf(names []string) map[string]bool {
	if len(names) == 0 {
		return nil
	}
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}
