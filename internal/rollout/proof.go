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
	Unproved    Verdict = iota // not asked yet, or the check itself failed: it proves nothing
	Right                      // it is healthy, and all its answers are right
	Wrong                      // an answer is wrong
	NotReached                 // it can't be reached, or says that it is not healthy
	NotCompared                // the old version's answer, to compare with, could not be had
)

var verdictNames = [...]string{"unproved", "right", "wrong", "not reached", "not compared"}

func (v Verdict) String() string { return verdictNames[v] }

// Probe is a question to a replica.
type Probe struct {
	Replica Replica
	// Reference is an old replica to compare with; nil where there is none.
	Reference *Replica
}

// Answer is what came of a probe.
type Answer struct {
	Verdict Verdict
	Check   string // the check that was not passed
}

// proof is what is known of a replica.
type proof struct {
	replica Replica
	verdict Verdict
	check   string
	asking  bool
	asked   bool
	anewAt  time.Duration // when the question was sent to which the last right answer came
	askedAt time.Duration
	rightAt time.Duration // when it was last found right
	answers int
}

// Proofs keep what the replicas of a plan have proved. A new attempt begins with nothing.
type Proofs struct {
	interval time.Duration // between two questions to a replica
	proofs   map[replicaName]*proof
	order    []replicaName
	// wrong is the first new replica that answered wrongly, with the check. It stays, whatever becomes of it.
	wrong string
}

// NewProofs makes proofs of replicas that are asked in an interval.
func NewProofs(interval time.Duration) *Proofs {
	return &Proofs{interval: interval, proofs: map[replicaName]*proof{}}
}

// creditIntervals is for how many intervals a right answer counts. One whose next question is late is not lost
// at once; one that can't be asked any more is.
const creditIntervals = 3

// Track takes the replicas that run now. Those that are gone lose what they had proved.
func (p *Proofs) Track(replicas []Replica) {
	next := make(map[replicaName]*proof, len(replicas))
	p.order = p.order[:0]
	for _, r := range replicas {
		known := p.proofs[r.name()]
		if known == nil || known.replica.Address != r.Address {
			known = &proof{replica: r}
		}
		next[r.name()] = known
		p.order = append(p.order, r.name())
	}
	p.proofs = next
}

// Due gives up to so many probes that are due, those that have waited longest first.
func (p *Proofs) Due(now time.Duration, most int) []Probe {
	var due []*proof
	for _, name := range p.order {
		x := p.proofs[name]
		if !x.asking && (!x.asked || now >= x.askedAt+p.interval) {
			due = append(due, x)
		}
	}
	slices.SortStableFunc(due, func(a, b *proof) int { return cmp.Compare(a.askedAt, b.askedAt) })
	var probes []Probe
	for _, x := range due[:min(len(due), max(0, most))] {
		x.asking, x.asked, x.askedAt = true, true, now
		probe := Probe{Replica: x.replica}
		if x.replica.Version == NewVersion {
			probe.Reference = p.reference(now, x.answers)
		}
		probes = append(probes, probe)
	}
	return probes
}

// reference gives an old replica that is known to be healthy, another one each time.
func (p *Proofs) reference(now time.Duration, turn int) *Replica {
	var old []*proof
	for _, name := range p.order {
		if x := p.proofs[name]; x.replica.Version == OldVersion && p.right(x, now) {
			old = append(old, x)
		}
	}
	if len(old) == 0 {
		return nil
	}
	return &old[turn%len(old)].replica
}

// Take takes the answer to a probe. One about an attempt that is gone counts only if it is wrong.
func (p *Proofs) Take(r Replica, a Answer, now time.Duration) {
	if a.Verdict == Wrong && r.Version == NewVersion && p.wrong == "" {
		p.wrong = r.Task + ", check " + a.Check
	}
	x := p.proofs[r.name()]
	if x == nil {
		return
	}
	x.asking = false
	x.answers++
	x.verdict, x.check = a.Verdict, a.Check
	if a.Verdict == Right {
		x.rightAt, x.anewAt = now, x.askedAt
	}
}

// NewProvedSince tells whether each new replica was asked after a moment, and found right.
func (p *Proofs) NewProvedSince(moment, now time.Duration) bool {
	for _, name := range p.order {
		x := p.proofs[name]
		if x.replica.Version == NewVersion && (!p.right(x, now) || x.anewAt < moment) {
			return false
		}
	}
	return true
}

// Missed notes that a probe was not sent.
func (p *Proofs) Missed(r Replica) {
	if x := p.proofs[r.name()]; x != nil {
		x.asking = false
	}
}

// Wrong names the first new replica that answered wrongly, and the check; "": none.
func (p *Proofs) Wrong() string { return p.wrong }

// right tells whether a replica counts as capacity.
func (p *Proofs) right(x *proof, now time.Duration) bool {
	return x.verdict == Right && now-x.rightAt < creditIntervals*p.interval
}

// Proved tells whether a replica counts as capacity.
func (p *Proofs) Proved(r Replica, now time.Duration) bool {
	x := p.proofs[r.name()]
	return x != nil && p.right(x, now)
}

// AllAnswered tells whether each replica has had an answer, of whatever kind.
func (p *Proofs) AllAnswered() bool {
	for _, name := range p.order {
		if p.proofs[name].answers == 0 {
			return false
		}
	}
	return true
}

// ReplicaState is what is known of a replica, for people.
type ReplicaState struct {
	Replica Replica
	Proved  bool
	Verdict Verdict
	Check   string
}

// States gives what is known of all replicas.
func (p *Proofs) States(now time.Duration) []ReplicaState {
	states := make([]ReplicaState, 0, len(p.order))
	for _, name := range p.order {
		x := p.proofs[name]
		states = append(states, ReplicaState{Replica: x.replica, Proved: p.right(x, now), Verdict: x.verdict, Check: x.check})
	}
	return states
}
