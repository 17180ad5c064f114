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

// Replica is an attempt of a task of one of a plan's jobs that its machine reports as running.
type Replica struct {
	Job     string
	Task    string
	Attempt uint64
	Address string // of its model server, host:port
	Version Version
}

// replicaName tells an attempt from all others.
type replicaName struct {
	task    string
	attempt uint64
}

func (r Replica) name() replicaName { return replicaName{r.Task, r.Attempt} }

// Verdict is what came of asking a replica.
type Verdict int

// The verdicts.
const (
	NotValidated Verdict = iota // not asked yet, or the check itself failed: it proves nothing
	Passed                      // it is healthy, and all its answers are right
	Failed                      // an answer is wrong
	NotReached                  // it can't be reached, or says that it is not healthy
	NotCompared                 // the old version's answer, to compare with, could not be had
)

var verdictNames = [...]string{"unproved", "right", "wrong", "not reached", "not compared"}

func (v Verdict) String() string { return verdictNames[v] }

// Probe is a question to a replica.
type Probe struct {
	Replica Replica
	// Reference is an old replica to compare with; nil where there is none.
	Reference *Replica
}

// ProbeResult is what came of a probe.
type ProbeResult struct {
	Verdict Verdict
	Check   string // the check that was not passed
}

// validation is what is known of a replica.
type validation struct {
	replica       Replica
	verdict       Verdict
	check         string
	inFlight      bool
	asked         bool
	passedAskedAt time.Duration // when the question was sent to which the last right answer came
	askedAt       time.Duration
	passedAt      time.Duration // when it was last found right
	answers       int
}

// Validations keep what the replicas of a plan have proved. A new attempt begins with nothing.
type Validations struct {
	interval  time.Duration // between two questions to a replica
	byReplica map[replicaName]*validation
	order     []replicaName
	// failedCheck is the first new replica that answered wrongly, with the check. It stays, whatever becomes of it.
	failedCheck string
}

// NewValidations makes proofs of replicas that are asked in an interval.
func NewValidations(interval time.Duration) *Validations {
	return &Validations{interval: interval, byReplica: map[replicaName]*validation{}}
}

// validIntervals is for how many intervals a right answer counts. One whose next question is late is not lost
// at once; one that can't be asked any more is.
const validIntervals = 3

// Track takes the replicas that run now. Those that are gone lose what they had proved.
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

// Due gives up to so many probes that are due, those that have waited longest first.
func (p *Validations) Due(now time.Duration, most int) []Probe {
	var due []*validation
	for _, name := range p.order {
		x := p.byReplica[name]
		if !x.inFlight && (!x.asked || now >= x.askedAt+p.interval) {
			due = append(due, x)
		}
	}
	slices.SortStableFunc(due, func(a, b *validation) int { return cmp.Compare(a.askedAt, b.askedAt) })
	var probes []Probe
	for _, x := range due[:min(len(due), max(0, most))] {
		x.inFlight, x.asked, x.askedAt = true, true, now
		probe := Probe{Replica: x.replica}
		if x.replica.Version == NewVersion {
			probe.Reference = p.reference(now, x.answers)
		}
		probes = append(probes, probe)
	}
	return probes
}

// reference gives an old replica that is known to be healthy, another one each time.
func (p *Validations) reference(now time.Duration, turn int) *Replica {
	var old []*validation
	for _, name := range p.order {
		if x := p.byReplica[name]; x.replica.Version == OldVersion && p.valid(x, now) {
			old = append(old, x)
		}
	}
	if len(old) == 0 {
		return nil
	}
	return &old[turn%len(old)].replica
}

// Observe takes the answer to a probe. One about an attempt that is gone counts only if it is wrong.
func (p *Validations) Observe(r Replica, a ProbeResult, now time.Duration) {
	if a.Verdict == Failed && r.Version == NewVersion && p.failedCheck == "" {
		p.failedCheck = r.Task + ", check " + a.Check
	}
	x := p.byReplica[r.name()]
	if x == nil {
		return
	}
	x.inFlight = false
	x.answers++
	x.verdict, x.check = a.Verdict, a.Check
	if a.Verdict == Passed {
		x.passedAt, x.passedAskedAt = now, x.askedAt
	}
}

// NewValidatedSince tells whether each new replica was asked after a moment, and found right.
func (p *Validations) NewValidatedSince(moment, now time.Duration) bool {
	for _, name := range p.order {
		x := p.byReplica[name]
		if x.replica.Version == NewVersion && (!p.valid(x, now) || x.passedAskedAt < moment) {
			return false
		}
	}
	return true
}

// NotSent notes that a probe was not sent.
func (p *Validations) NotSent(r Replica) {
	if x := p.byReplica[r.name()]; x != nil {
		x.inFlight = false
	}
}

// FailedCheck names the first new replica that answered wrongly, and the check; "": none.
func (p *Validations) FailedCheck() string { return p.failedCheck }

// valid tells whether a replica counts as capacity.
func (p *Validations) valid(x *validation, now time.Duration) bool {
	return x.verdict == Passed && now-x.passedAt < validIntervals*p.interval
}

// Validated tells whether a replica counts as capacity.
func (p *Validations) Validated(r Replica, now time.Duration) bool {
	x := p.byReplica[r.name()]
	return x != nil && p.valid(x, now)
}

// AllAnswered tells whether each replica has had an answer, of whatever kind.
func (p *Validations) AllAnswered() bool {
	for _, name := range p.order {
		if p.byReplica[name].answers == 0 {
			return false
		}
	}
	return true
}

// ReplicaState is what is known of a replica, for people.
type ReplicaState struct {
	Replica   Replica
	Validated bool
	Verdict   Verdict
	Check     string
}

// States gives what is known of all replicas.
func (p *Validations) States(now time.Duration) []ReplicaState {
	states := make([]ReplicaState, 0, len(p.order))
	for _, name := range p.order {
		x := p.byReplica[name]
		states = append(states, ReplicaState{Replica: x.replica, Validated: p.valid(x, now), Verdict: x.verdict, Check: x.check})
	}
	return states
}
