package election

import "time"

// Host is the node that takes part in an election.
type Host interface {
	// Now returns the monotonic time of the current step.
	Now() time.Duration
	// WakeBy requests that Run be called no later than the given time.
	WakeBy(at time.Duration)
	// View returns the leadership as the node last read it from the store.
	View() View
	// StoreDown reports whether the store is unavailable to this node.
	StoreDown() bool
	// CandidacyBlocked returns the reason why this node must not lead, or "" if there is none.
	CandidacyBlocked() string
	// HasSpareCPU reports whether there is enough CPU time for a failover, which costs more than continuing the term.
	HasSpareCPU() bool
	// WorkersReachOnlyPeers reports whether workers reach other nodes but not this one, which leads.
	WorkersReachOnlyPeers() bool

	// Elected is called when this node has won a term.
	Elected(term Term)
	// SteppedDown is called when the term of this node ends.
	SteppedDown(reason StepDownReason)

	LogDebug(message string, fields ...any)
	LogInfo(message string, fields ...any)
	LogError(message string, fields ...any)
}

// Term is a term that this node has won.
type Term struct {
	Number uint64
	// Version is the version of the term key. The writes of a leader are conditional on it.
	Version uint64
	// LeaseDeadline is the time until which the lease is certainly held without a renewal.
	LeaseDeadline time.Duration
}

// View is the leadership as shown by the node's cache of the store. It may be stale. Writes based on it are conditional
// on the versions read.
type View struct {
	// Ready is set once the cache has been filled.
	Ready bool
	// Vacant is set if there is no leader key.
	Vacant bool
	Leader LeaderView
	Term   TermView
}

// LeaderView is the content of the leader key.
type LeaderView struct {
	Node  string
	Lease uint64
}

// TermView is the content of the term key: the newest term and the node that won it.
type TermView struct {
	Number  uint64
	Node    string
	Version uint64
}
