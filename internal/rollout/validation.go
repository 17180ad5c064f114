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

// replicaName identifies an attempt.
type replicaName struct {
	task    string
	attempt uint64
}

func (r Replica) name() replicaName { return replicaName{r.Task, r.Attempt} }

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
	replica       Replica
	verdict       Verdict
	check         string
	inFlight      bool
	probed        bool
	passedProbeAt time.Duration // when the last probe was sent that passed
	probedAt      time.Duration
	passedAt      time.Duration // when the result of that probe came
	results       int
}

// Validations keeps the validations of a plan's replicas. A new attempt begins unvalidated.
type Validations struct {
	interval  time.Duration // between two probes of a replica
	byReplica map[replicaName]*validation
	order     []replicaName
	// failedCheck is the first new replica that failed a check, with the check. It stays, whatever the replica does later.
	failedCheck string
}

// NewValidations makes validations of replicas that are probed at an interval.
func NewValidations(interval time.Duration) *Validations {
	return &Validations{interval: interval, byReplica: map[replicaName]*validation{}}
}

// validIntervals is for how many intervals a passed probe counts. A late probe does not invalidate a replica at once, the
// lack of several does.
const validIntervals = 3

// Track sets the replicas that run now. Those that are gone lose their validation.
func (p *Validations) Track(replicas []Replica) {
	next := make(map[replicaName]*validation, len(replicas))
	p.order = p.order[:0]
	for _, r := range replicas {
		known := p.byReplica[r.name()]
		if known == nil || known.replica.Address != r.Address {
			known = &validation{replica: r}
		}
		next[r.name()] = known
		p.order = append(p.order, r.name())
	}
	p.byReplica = next
}

// Due gives up to limit probes that are due, those that have waited longest first.
func (p *Validations) Due(now time.Duration, limit int) []Probe {
	var due []*validation
	for _, name := range p.order {
		v := p.byReplica[name]
		if !v.inFlight && (!v.probed || now >= v.probedAt+p.interval) {
			due = append(due, v)
		}
	}
	slices.SortStableFunc(due, func(a, b *validation) int { return cmp.Compare(a.probedAt, b.probedAt) })
	var probes []Probe
	for _, v := range due[:min(len(due), max(0, limit))] {
		v.inFlight, v.probed, v.probedAt = true, true, now
		probe := Probe{Replica: v.replica}
		if v.replica.Version == NewVersion {
			probe.Reference = p.reference(now, v.results)
		}
		probes = append(probes, probe)
	}
	return probes
}

// reference gives a healthy old replica, another one each turn; nil if there is none.
func (p *Validations) reference(now time.Duration, turn int) *Replica {
	var old []*validation
	for _, name := range p.order {
		if v := p.byReplica[name]; v.replica.Version == OldVersion && p.valid(v, now) {
			old = append(old, v)
		}
	}
	if len(old) == 0 {
		return nil
	}
	return &old[turn%len(old)].replica
}

// Observe takes in the result of a probe. One of an attempt that is gone counts only if it failed a check.
func (p *Validations) Observe(r Replica, result ProbeResult, now time.Duration) {
	if result.Verdict == Failed && r.Version == NewVersion && p.failedCheck == "" {
		p.failedCheck = r.Task + ", check " + result.Check
	}
	v := p.byReplica[r.name()]
	if v == nil {
		return
	}
	v.inFlight = false
	v.results++
	v.verdict, v.check = result.Verdict, result.Check
	if result.Verdict == Passed {
		v.passedAt, v.passedProbeAt = now, v.probedAt
	}
}

// NewValidatedSince tells whether each new replica was probed after a moment, and passed.
func (p *Validations) NewValidatedSince(moment, now time.Duration) bool {
	for _, name := range p.order {
		v := p.byReplica[name]
		if v.replica.Version == NewVersion && (!p.valid(v, now) || v.passedProbeAt < moment) {
			return false
		}
	}
	return true
}

// NotSent notes that a probe was not sent.
func (p *Validations) NotSent(r Replica) {
	if v := p.byReplica[r.name()]; v != nil {
		v.inFlight = false
	}
}

// FailedCheck names the first new replica that failed a check, and the check; "": none.
func (p *Validations) FailedCheck() string { return p.failedCheck }

// valid tells whether a validation counts: its replica passed the last probe, not long ago.
func (p *Validations) valid(v *validation, now time.Duration) bool {
	return v.verdict == Passed && now-v.passedAt < validIntervals*p.interval
}

// Validated tells whether a replica counts as capacity.
func (p *Validations) Validated(r Replica, now time.Duration) bool {
	v := p.byReplica[r.name()]
	return v != nil && p.valid(v, now)
}

// AllAnswered tells whether each replica has been probed, with whatever result.
func (p *Validations) AllAnswered() bool {
	for _, name := range p.order {
		if p.byReplica[name].results == 0 {
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
func (p *Validations) States(now time.Duration) []ReplicaState {
	states := make([]ReplicaState, 0, len(p.order))
	for _, name := range p.order {
		v := p.byReplica[name]
		states = append(states, ReplicaState{Replica: v.replica, Validated: p.valid(v, now), Verdict: v.verdict, Check: v.check})
	}
	return states
}
