package election

// StepDownReason is why a leader ended its term, as it appears in the log.
type StepDownReason string

// The reasons for stepping down. After an indeterminate write the leader can't know which state to build on. The next
// leader reads the stored state, and if the write of the old term arrives later, it fails on the version of the term
// key.
const (
	// NewerTermObserved means that the term key holds a newer term.
	NewerTermObserved StepDownReason = "newer term observed"
	// TermSuperseded means that a conditional write failed on the version of the term key.
	TermSuperseded StepDownReason = "term superseded"
	// LeaseExpired means that the store no longer knows the leader's lease.
	LeaseExpired StepDownReason = "leader lease expired"
	// WorkersReachOnlyPeers means that workers reach other nodes but not this one.
	WorkersReachOnlyPeers StepDownReason = "workers reach only other nodes"
	// BetterCandidateAvailable means that workers would find the next leader sooner if another node led.
	BetterCandidateAvailable StepDownReason = "better candidate available"
	// RecordLayoutIndeterminate means that the write of a new layout of the run records may have been applied.
	RecordLayoutIndeterminate StepDownReason = "outcome of record layout write unknown"
	// TermFormatIndeterminate means that the write of the term in a new format may have been applied.
	TermFormatIndeterminate StepDownReason = "outcome of term format write unknown"
	// PlanWriteIndeterminate means that the write of a rollout plan may still be applied.
	PlanWriteIndeterminate StepDownReason = "outcome of plan write unknown"
)
