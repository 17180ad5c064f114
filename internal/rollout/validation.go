package rollout

import (
	"cmp"
	"slices"
	"time"
)

// Version is one of the two versions of a plan.
type Version string

// The versions.
const (
	OldVersion Version = "old"
	NewVersion Version = "new"
)

// Replica is an attempt of a task of one of a plan's jobs that runs according to its machine's heartbeats.
type Replica struct {
	Job     string
	Task    string
	Attempt uint64
	Address string // of its model server, host:port
	Version Version
}

// attemptKey identifies an attempt.
type attemptKey struct {
	task    string
	attempt uint64
}

func (r Replica) key() attemptKey { return attemptKey{r.Task, r.Attempt} }

// Verdict is the result of probing a replica.
type Verdict int

// The verdicts.
const (
	NotValidated Verdict = iota // not probed yet, or the check itself could not be made
	Passed                      // it is healthy, and all its answers pass the checks
	Failed                      // an answer fails a check
	NotReached                  // it can't be reached, or its health check fails
	NotCompared                 // there was no answer of the old version to compare with
)

var verdictNames = [...]string{"unproved", "right", "wrong", "not reached", "not compared"}

func (v Verdict) String() string { return verdictNames[v] }

// Probe is a health check of a replica, with the checks of a plan if it is of the new version.
type Probe struct {
	Replica Replica
	// Reference is an old replica to compare with; nil if there is none.
	Reference *Replica
}

// ProbeResult is the result of a probe.
type ProbeResult struct {
	Verdict Verdict
	Check   string // the check that did not pass
}

// validation is what the probes of a replica have shown.
type validation struct {
	replica           Replica
	verdict           Verdict
	check             string
	probeInFlight     bool
	probed            bool
	passedProbeSentAt time.Duration // when the last probe was sent that passed
	probeSentAt       time.Duration
	passedAt          time.Duration // when the result of that probe came
	resultCount       int
}

// Validations keeps the validations of a plan's replicas. A new attempt begins unvalidated.
type Validations struct {
	interval  time.Duration // between two probes of a replica
	byReplica map[attemptKey]*validation
	order     []attemptKey
	// failedCheck is the first new replica that failed a check, with the check. It stays, whatever the replica does later.
	failedCheck string
}

// NewValidations makes validations of replicas that are probed at an interval.
func NewValidations(interval time.Duration) *Validations {
	return &Validations{interval: interval, byReplica: map[attemptKey]*validation{}}
}

// validityIntervals is for how many intervals a passed probe counts. A late probe does not invalidate a replica at once, the
// lack of several does.
const validityIntervals = 3

// SetReplicas sets the replicas that run now. Those that are gone lose their validation.
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

// DueProbes gives up to limit probes that are due, those that have waited longest first.
func (s *Validations) DueProbes(now time.Duration, limit int) []Probe {
	var due []*validation
	for _, name := range s.order {
		v := s.byReplica[name]
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

// reference gives a healthy old replica, another one each turn; nil if there is none.
func (s *Validations) reference(now time.Duration, turn int) *Replica {
	var old []*validation
	for _, name := range s.order {
		if v := s.byReplica[name]; v.replica.Version == OldVersion && s.valid(v, now) {
			old = append(old, v)
		}
	}
	if len(old) == 0 {
		return nil
	}
	return &old[turn%len(old)].replica
}

// RecordResult takes in the result of a probe. One of an attempt that is gone counts only if it failed a check.
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

// NewValidatedSince tells whether each new replica was probed after a moment, and passed.
func (s *Validations) NewValidatedSince(moment, now time.Duration) bool {
	for _, name := range s.order {
		v := s.byReplica[name]
		if v.replica.Version == NewVersion && (!s.valid(v, now) || v.passedProbeSentAt < moment) {
			return false
		}
	}
	return true
}

// ProbeNotSent notes that a probe was not sent.
func (s *Validations) ProbeNotSent(r Replica) {
	if v := s.byReplica[r.key()]; v != nil {
		v.probeInFlight = false
	}
}

// FailedCheck names the first new replica that failed a check, and the check; "": none.
func (s *Validations) FailedCheck() string { return s.failedCheck }

// valid tells whether a validation counts: its replica passed the last probe, not long ago.
func (s *Validations) valid(v *validation, now time.Duration) bool {
	return v.verdict == Passed && now-v.passedAt < validityIntervals*s.interval
}

// Validated tells whether a replica counts as capacity.
func (s *Validations) Validated(r Replica, now time.Duration) bool {
	v := s.byReplica[r.key()]
	return v != nil && s.valid(v, now)
}

// AllProbed tells whether each replica has been probed, with whatever result.
func (s *Validations) AllProbed() bool {
	for _, name := range s.order {
		if s.byReplica[name].resultCount == 0 {
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

// States gives the states of all replicas.
func (s *Validations) States(now time.Duration) []ReplicaState {
	states := make([]ReplicaState, 0, len(s.order))
	for _, name := range s.order {
		v := s.byReplica[name]
		states = append(states, ReplicaState{Replica: v.replica, Validated: s.valid(v, now), Verdict: v.verdict, Check: v.check})
	}
	return states
}
