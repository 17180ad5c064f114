package rollout

import (
	"cmp"
	"slices"
	"time"
)

// Version identifies one of the two versions of a plan.
type Version string

// The versions of a plan.
const (
	OldVersion Version = "old"
	NewVersion Version = "new"
)

// Replica is an attempt of a task of one of a plan's jobs that is running according to the heartbeats of its machine.
type Replica struct {
	Job     string
	Task    string
	Attempt uint64
	Address string // host:port of its model server
	Version Version
}

// attemptKey identifies an attempt of a task.
type attemptKey struct {
	task    string
	attempt uint64
}

func (r Replica) key() attemptKey { return attemptKey{r.Task, r.Attempt} }

// Verdict is the conclusion of a probe about a replica.
type Verdict int

// The verdicts of a probe.
const (
	NotValidated Verdict = iota // not probed yet, or a check could not be evaluated
	Passed                      // healthy, and all responses pass the checks
	Failed                      // a response fails a check
	NotReached                  // unreachable, or the health check fails
	NotCompared                 // no response of the old version is available for comparison
)

var verdictNames = [...]string{"unproved", "right", "wrong", "not reached", "not compared"}

func (v Verdict) String() string { return verdictNames[v] }

// Probe is a health check of a replica. For a replica of the new version it includes the checks of the plan.
type Probe struct {
	Replica Replica
	// Reference is an old replica to compare with, or nil if there is none.
	Reference *Replica
}

// ProbeResult is the result of a probe.
type ProbeResult struct {
	Verdict Verdict
	Check   string // check that did not pass
}

// validation is the result of the probes of a replica so far.
type validation struct {
	replica           Replica
	verdict           Verdict
	check             string
	probeInFlight     bool
	probed            bool
	passedProbeSentAt time.Duration // when the last passed probe was sent
	probeSentAt       time.Duration
	passedAt          time.Duration // when the result of the last passed probe arrived
	resultCount       int
}

// Validations holds the validations of the replicas of a plan. Each new attempt starts without validation.
type Validations struct {
	interval  time.Duration // between two probes of a replica
	byReplica map[attemptKey]*validation
	order     []attemptKey
	// failedCheck names the first new replica that failed a check, and the check. Later results do not change it.
	failedCheck string
}

// NewValidations returns validations of replicas that are probed at the given interval.
func NewValidations(interval time.Duration) *Validations {
	return &Validations{interval: interval, byReplica: map[attemptKey]*validation{}}
}

// validityIntervals is the number of intervals for which a passed probe is valid. A single late probe does not
// invalidate a replica, several missing ones do.
const validityIntervals = 3

// SetReplicas sets the replicas that are running now. Other replicas lose their validation.
func (s *Validations) SetReplicas(replicas []Replica) {
	next := make(map[attemptKey]*validation, len(replicas))
	s.order = s.order[:0]
	for _, r := range replicas {
		existing := s.byReplica[r.key()]
		if existing == nil || existing.replica.Address != r.Address {
			existing = &validation{replica: r}
		}
		next[r.key()] = existing
		s.order = append(s.order, r.key())
	}
	s.byReplica = next
}

// DueProbes returns up to limit probes that are due, in order of the time since the last probe, longest first.
func (s *Validations) DueProbes(now time.Duration, limit int) []Probe {
	var due []*validation
	for _, key := range s.order {
		v := s.byReplica[key]
		if !v.probeInFlight && (!v.probed || now >= v.probeSentAt+s.interval) {
			due = append(due, v)
		}
	}
	slices.SortStableFunc(due, func(a, b *validation) int { return cmp.Compare(a.probeSentAt, b.probeSentAt) })
	var probes []Probe
	for _, v := range due[:min(len(due), max(0, limit))] {
		v.probeInFlight, v.probed, v.probeSentAt = true, true, now
		probe := Probe{Replica: v.replica}
		if v.replica.Version == NewVersion {
			probe.Reference = s.reference(now, v.resultCount)
		}
		probes = append(probes, probe)
	}
	return probes
}

// reference returns a validated old replica, or nil if there is none. Successive turns rotate through the old replicas.
func (s *Validations) reference(now time.Duration, turn int) *Replica {
	var old []*validation
	for _, key := range s.order {
		if v := s.byReplica[key]; v.replica.Version == OldVersion && s.valid(v, now) {
			old = append(old, v)
		}
	}
	if len(old) == 0 {
		return nil
	}
	return &old[turn%len(old)].replica
}

// RecordResult records the result of a probe. For an attempt that is no longer running, only a failed check counts.
func (s *Validations) RecordResult(r Replica, result ProbeResult, now time.Duration) {
	if result.Verdict == Failed && r.Version == NewVersion && s.failedCheck == "" {
		s.failedCheck = r.Task + ", check " + result.Check
	}
	v := s.byReplica[r.key()]
	if v == nil {
		return
	}
	v.probeInFlight = false
	v.resultCount++
	v.verdict, v.check = result.Verdict, result.Check
	if result.Verdict == Passed {
		v.passedAt, v.passedProbeSentAt = now, v.probeSentAt
	}
}

// NewValidatedSince reports whether each new replica is validated by a probe that was sent at or after the given
// moment.
func (s *Validations) NewValidatedSince(moment, now time.Duration) bool {
	for _, key := range s.order {
		v := s.byReplica[key]
		if v.replica.Version == NewVersion && (!s.valid(v, now) || v.passedProbeSentAt < moment) {
			return false
		}
	}
	return true
}

// ProbeNotSent records that a due probe was not sent.
func (s *Validations) ProbeNotSent(r Replica) {
	if v := s.byReplica[r.key()]; v != nil {
		v.probeInFlight = false
	}
}

// FailedCheck returns the first new replica that failed a check, and the check; "" if none did.
func (s *Validations) FailedCheck() string { return s.failedCheck }

// valid reports whether a validation is valid: the replica passed its last probe, not longer ago than the validity.
func (s *Validations) valid(v *validation, now time.Duration) bool {
	return v.verdict == Passed && now-v.passedAt < validityIntervals*s.interval
}

// Validated reports whether a replica is validated and counts as capacity.
func (s *Validations) Validated(r Replica, now time.Duration) bool {
	v := s.byReplica[r.key()]
	return v != nil && s.valid(v, now)
}

// AllProbed reports whether a probe of each replica has returned a result.
func (s *Validations) AllProbed() bool {
	for _, key := range s.order {
		if s.byReplica[key].resultCount == 0 {
			return false
		}
	}
	return true
}

// ReplicaState is a replica with the state of its validation.
type ReplicaState struct {
	Replica   Replica
	Validated bool
	Verdict   Verdict
	Check     string
}

// States returns the states of all replicas.
func (s *Validations) States(now time.Duration) []ReplicaState {
	states := make([]ReplicaState, 0, len(s.order))
	for _, key := range s.order {
		v := s.byReplica[key]
		states = append(states, ReplicaState{Replica: v.replica, Validated: s.valid(v, now), Verdict: v.verdict, Check: v.check})
	}
	return states
}
