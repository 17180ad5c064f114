package membership

import "time"

// Status is what a controller says of itself to the others, as the answer to their periodic query.
type Status struct {
	// StoreDown is set while the key-value store does not serve it, or has yet to be read.
	StoreDown bool
	// Term is the newest term that it knows.
	Term uint64
	// Leading is set while it holds that term.
	Leading bool
	// HeartbeatAge is the time since a worker's heartbeat last reached it; negative: none ever did.
	HeartbeatAge time.Duration
	// UnreachableZones are the zones whose workers a leader can't reach, nor they it.
	UnreachableZones []string
	// UnresolvedCancellations are cancelled jobs of which a leader can't yet exclude that a task starts or runs on.
	UnresolvedCancellations []string
	// MoreUnresolved is set if there are more of them than are listed.
	MoreUnresolved bool
	// Revision is the revision up to which it has read the changes of jobs; 0: it has yet to read them.
	Revision uint64
	// RecordLayouts is the newest layout of run records that its version reads; 0 in version 1, which does not say.
	RecordLayouts uint32
	// SupportsRollouts is set if its version implements rollout plans.
	SupportsRollouts bool
}
