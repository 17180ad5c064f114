package election

// StepDownReason is why a leader ends its term, as the log has it.
type StepDownReason string

// The reasons. After an indeterminate write the leader can't know what it may build on; the next one reads what is there,
// and a late write of this term fails on its version of the term key.
const (
	// NewerTermObserved: the term key shows a newer term.
	NewerTermObserved StepDownReason = "newer term observed"
	// TermSuperseded: a conditional write failed on the term key.
	TermSuperseded StepDownReason = "term superseded"
	// LeaseExpired: the store no longer knows the leader's lease.
	LeaseExpired StepDownReason = "leader lease expired"
	// WorkersReachOnlyPeers: workers can't reach this node but others.
	WorkersReachOnlyPeers StepDownReason = "workers reach other nodes only"
	// BetterCandidateAvailable: workers would find the successor of another node sooner.
	BetterCandidateAvailable StepDownReason = "better candidate available"
	// RecordLayoutIndeterminate: the write of a new layout of the run records may have been applied.
	RecordLayoutIndeterminate StepDownReason = "record layout may have changed"
	// TermFormatIndeterminate: the write of the term in a new format may have been applied.
	TermFormatIndeterminate StepDownReason = "the form of the term may have changed"
	// PlanWriteIndeterminate: the write of a rollout plan may yet be applied.
	PlanWriteIndeterminate StepDownReason = "a plan may yet be written"
)
