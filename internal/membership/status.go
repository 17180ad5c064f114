package membership

import "time"

// Status is what a node reports about itself in response to the periodic queries of the others.
type Status struct {
	// StoreDown is set while the key-value store is unavailable to the node, and until it has read the store.
	StoreDown bool
	// Term is the newest term that the node knows.
	Term uint64
	// Leading is set while the node leads that term.
	Leading bool
	// HeartbeatAge is the time since the node last received a worker's heartbeat; negative if it never did.
	HeartbeatAge time.Duration
	// UnreachableZones lists the zones whose workers can't reach the leader and can't be reached by it. Only a leader
	// sets it.
	UnreachableZones []string
	// UnresolvedCancellations lists cancelled jobs for which the leader can't yet rule out that a task starts or is
	// still running. Only a leader sets it.
	UnresolvedCancellations []string
	// MoreUnresolved is set if UnresolvedCancellations is incomplete.
	MoreUnresolved bool
	// Revision is the revision up to which the node has read all changes of jobs; 0 if it has not read them yet.
	Revision uint64
	// MaxRecordLayout is the newest layout of run records that the node's version can read. It is 0 for version 1,
	// which does not report it.
	MaxRecordLayout uint32
	// SupportsRollouts is set if the node's version implements rollout plans.
	SupportsRollouts bool
}
