package election

import "time"

// Host is the controller that takes part in an election.
type Host interface {
	// Now is the monotonic time of the present step.
	Now() time.Duration
	// WakeBy asks for Run to be called at a time at the latest.
	WakeBy(at time.Duration)
	// View is what the controller has last seen of the leadership in the store.
	View() View
	// StoreDown reports whether the store does not serve this controller.
	StoreDown() bool
	// CandidacyBlocked gives the reason for which this controller must not lead; empty if there is none.
	CandidacyBlocked() string
	// HasTimeToSpare reports whether there is enough processor time for a failover, which costs more than a steady term.
	HasTimeToSpare() bool
	// WorkersReachOnlyPeers reports whether workers reach other controllers but not this one, which leads.
	WorkersReachOnlyPeers() bool

	// Elected is called when this controller has won a term.
	Elected(term Term)
	// SteppedDown is called when its term ends.
	SteppedDown(reason StepDownReason)

	LogDebug(message string, fields ...any)
	LogInfo(message string, fields ...any)
	LogError(message string, fields ...any)
}

// Term is a term that this controller has won.
type Term struct {
	Number uint64
	// Version is that of the term key; a leader's writes are conditional on it.
	Version uint64
	// LeaseDeadline is until when the lease is certainly held without a renewal.
	LeaseDeadline time.Duration
}

// View is the leadership as the controller's cache of the store shows it. It may be stale: what is written because of it is
// conditional on the versions.
type View struct {
	// Ready is set once the cache has been filled.
	Ready bool
	// Vacant is set if there is no leader key.
	Vacant bool
	Leader LeaderView
	Term   TermView
}

// LeaderView is the leader key.
type LeaderView struct {
	Node  string
	Lease uint64
}

// TermView is the term key: the newest term and the node that won it.
type TermView struct {
	Number  uint64
	Node    string
	Version uint64
}
