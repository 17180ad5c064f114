package core

import (
	"encoding/json"
	"time"

	"bitternwing/internal/call"
	"bitternwing/internal/wire"
)

// users answers users' requests. Nothing is told that the state service has not
// confirmed at that moment, except final states and cancellations, which never
// change. What can't be confirmed gets 503 at once.
type users struct {
	c       *Core
	waiting int // requests without an answer yet

	checks    []*lookup // to confirm by a comparison
	checkBusy bool
	checkAt   time.Duration // no comparison before this

	reads    []*lookup // to read
	readBusy int

	submits    []*submission
	submitting map[string]*submission
	submitBusy bool

	cancelling map[string][]func(found) // dependents whose cancellation is being written
}

func newUsers(c *Core) *users {
	return &users{c: c, submitting: map[string]*submission{}, cancelling: map[string][]func(found){}}
}

// lookup finds out what a job's state is.
type lookup struct {
	id    string
	entry *entry // what the cache says; nil: no such job
	then  func(found)
	// existence: all that is asked is whether the job was accepted; nothing of it is told.
	existence bool
}

// found is a lookup's result.
type found struct {
	failed bool        // could not be confirmed
	entry  *entry      // active
	final  *finalValue // done or cancelled
}

// submission is a job waiting to be committed; repeats of it wait with it.
type submission struct {
	job   *wire.Job
	value json.RawMessage
	reqs  []uint64
	tries int
}

// full answers 429 when too many requests wait already.
func (u *users) full(req uint64) bool {
	if u.waiting >= u.c.op.MaxPendingRequests {
		u.c.later(req, 429, "too many requests")
		return true
	}
	u.waiting++
	return false
}

func (u *users) done(req uint64, status int, body any) {
	u.waiting--
	u.c.answer(req, status, body)
}

func (u *users) unsure(req uint64) {
	u.waiting--
	u.c.later(req, 503, "can't be confirmed now")
}

func (u *users) submit(in Submit) {
	c := u.c
	if f, ok := c.dir.finals[in.Job.ID]; ok {
		c.answer(in.Req, 200, finalState(in.Job.ID, f))
		return
	}
	if u.full(in.Req) {
		return
	}
	if !c.dir.ready {
		u.unsure(in.Req)
		return
	}
	if s := u.submitting[in.Job.ID]; s != nil {
		s.reqs = append(s.reqs, in.Req)
		return
	}
	if c.dir.jobs[in.Job.ID] != nil {
		u.repeated(in, refusal{})
		return
	}
	switch admission := c.admissionOf(in.Job); {
	case admission == never:
		u.repeated(in, refusal{status: 422, why: "the job can never run here"})
	case admission == undecided:
		u.repeated(in, refusal{})
	case len(in.Job.Needs) > c.limits.mostNeeds():
		u.repeated(in, refusal{status: 400, why: wire.FieldNeeds + ": names too many jobs"})
	case len(in.Job.Needs) > 0:
		u.submitDependent(in)
	default:
		u.enqueue(in)
	}
}

// enqueue has a submission committed.
func (u *users) enqueue(in Submit) {
	c := u.c
	if s := u.submitting[in.Job.ID]; s != nil {
		s.reqs = append(s.reqs, in.Req)
		return
	}
	value, err := json.Marshal(activeValue{Job: in.Job, AtMS: c.now.WallMS})
	if err != nil || len(value) > c.limits.valueBytes() {
		u.done(in.Req, 400, wire.ErrorBody{Error: "body: is too large"})
		return
	}
	s := &submission{job: in.Job, value: value, reqs: []uint64{in.Req}}
	u.submitting[in.Job.ID] = s
	u.submits = append(u.submits, s)
}

// refusal is the answer to a submission that can't be taken; without a status nothing can be said.
type refusal struct {
	status int
	why    string
}

// repeated answers a submission that is known, or that can't be taken. A job that is known already
// gets its state, whatever today's check says.
func (u *users) repeated(in Submit, refused refusal) {
	c := u.c
	u.find(in.Job.ID, func(f found) {
		switch {
		case f.failed:
			u.unsure(in.Req)
		case f.entry != nil || f.final != nil:
			u.done(in.Req, 200, c.stateOf(in.Job.ID, f))
		case refused.status != 0:
			u.done(in.Req, refused.status, wire.ErrorBody{Error: refused.why})
		default:
			// Undecided, or gone from the cache while it was asked for.
			u.unsure(in.Req)
		}
	})
}

func (u *users) poll(in Poll) {
	c := u.c
	if !wire.ValidJobID(in.ID) {
		c.answer(in.Req, 404, wire.ErrorBody{Error: "no such job"})
		return
	}
	if f, ok := c.dir.finals[in.ID]; ok {
		c.answer(in.Req, 200, finalState(in.ID, f))
		return
	}
	if u.full(in.Req) {
		return
	}
	u.find(in.ID, func(f found) {
		switch {
		case f.failed:
			u.unsure(in.Req)
		case f.entry == nil && f.final == nil:
			u.done(in.Req, 404, wire.ErrorBody{Error: "no such job"})
		default:
			u.done(in.Req, 200, c.stateOf(in.ID, f))
		}
	})
}

func (u *users) cancel(in Cancel) {
	c := u.c
	if !wire.ValidJobID(in.ID) {
		c.answer(in.Req, 404, wire.ErrorBody{Error: "no such job"})
		return
	}
	if f, ok := c.dir.finals[in.ID]; ok {
		c.answer(in.Req, 200, wire.JobState{ID: in.ID, State: f.State})
		return
	}
	if u.full(in.Req) {
		return
	}
	u.tryCancel(in, 0)
}

// tryCancel commits a cancellation by comparing and setting the job's key, which
// is also what a done has to pass: one of the two wins.
func (u *users) tryCancel(in Cancel, tries int) {
	u.find(in.ID, func(f found) {
		switch {
		case f.failed || tries > 3:
			u.unsure(in.Req)
		case f.final != nil:
			u.done(in.Req, 200, wire.JobState{ID: in.ID, State: f.final.State})
		case f.entry == nil:
			u.done(in.Req, 404, wire.ErrorBody{Error: "no such job"})
		case f.entry.CancelledMS != 0:
			u.done(in.Req, 200, wire.JobState{ID: in.ID, State: wire.JobCancelled})
		default:
			u.commitCancel(in.ID, f.entry, func(r cancelResult) {
				switch r {
				case cancelTold:
					u.done(in.Req, 200, wire.JobState{ID: in.ID, State: wire.JobCancelled})
				case cancelChanged:
					u.tryCancel(in, tries+1)
				default:
					u.unsure(in.Req)
				}
			})
		}
	})
}

// cancelResult is what became of the write of a cancellation.
type cancelResult int

const (
	cancelUnsure  cancelResult = iota
	cancelTold                 // written, and known to all nodes
	cancelChanged              // the job's key has changed before
)

// commitCancel writes a job's cancellation, on the condition that its key is as it was seen, and has
// all nodes know it.
func (u *users) commitCancel(id string, e *entry, then func(cancelResult)) {
	c := u.c
	v := e.activeValue
	v.CancelledMS = max(1, c.now.WallMS)
	value, err := c.encodeActive(v)
	if err != nil {
		then(cancelUnsure)
		return
	}
	request := c.stateCall(func(r Result) {
		switch r.Outcome {
		case call.OK:
			c.learn(id, value, r.Txn.Revision)
			c.cancels.confirm(id, &entry{v, r.Txn.Revision}, func(acknowledged bool) {
				if acknowledged {
					then(cancelTold)
				} else {
					then(cancelUnsure)
				}
			})
		case call.Conflict:
			then(cancelChanged)
		default:
			then(cancelUnsure)
		}
	})
	key := keyActive + id
	c.send(StateTxn{ID: request, Txn: wire.Txn{
		If:   []wire.Cond{{Key: key, Version: e.version}},
		Then: []wire.Op{{Put: key, Value: value}},
	}})
}

// find looks a job up. A cached cancellation stands without asking, once all nodes know it.
func (u *users) find(id string, then func(found)) {
	if !u.c.dir.ready {
		then(found{failed: true})
		return
	}
	e := u.c.dir.jobs[id]
	if e != nil && e.CancelledMS != 0 {
		u.cancelled(id, e, then)
		return
	}
	if e != nil && len(e.Job.Needs) > 0 && !u.mayTell(id, e, then) {
		return
	}
	u.checks = append(u.checks, &lookup{id: id, entry: e, then: then})
}

// cancelled hands over a cancelled job once users may be told of it.
func (u *users) cancelled(id string, e *entry, then func(found)) {
	u.c.cancels.confirm(id, e, func(acknowledged bool) {
		if f, over := u.c.dir.finals[id]; over {
			then(found{final: &f})
			return
		}
		then(found{entry: e, failed: !acknowledged})
	})
}

func (u *users) run() {
	u.runChecks()
	u.runReads()
	u.runSubmits()
}

// runChecks confirms cached states, many in one comparison, one comparison at a
// time. What doesn't hold any more is read.
func (u *users) runChecks() {
	c := u.c
	if u.checkBusy || len(u.checks) == 0 {
		return
	}
	if c.now.Steady < u.checkAt {
		c.at(u.checkAt)
		return
	}
	most := c.limits.conditions()
	var conds []wire.Cond
	n := 0
	for ; n < len(u.checks) && len(conds)+2 <= most; n++ {
		l := u.checks[n]
		if l.entry != nil {
			conds = append(conds, wire.Cond{Key: keyActive + l.id, Version: l.entry.version})
		} else {
			conds = append(conds, wire.Cond{Key: keyActive + l.id}, wire.Cond{Key: keyFinal + l.id})
		}
	}
	batch := append([]*lookup(nil), u.checks[:n]...)
	u.checks = append(u.checks[:0], u.checks[n:]...)
	u.checkBusy = true
	u.checkAt = c.now.Steady + c.t.batchGap
	id := c.stateCall(func(r Result) {
		u.checkBusy = false
		failed := map[string]bool{}
		for _, k := range r.Txn.Failed {
			failed[k] = true
		}
		for _, l := range batch {
			switch {
			case r.Outcome == call.OK, r.Outcome == call.Conflict && len(failed) > 0 &&
				!failed[keyActive+l.id] && !failed[keyFinal+l.id]:
				l.then(found{entry: l.entry})
			case r.Outcome == call.Conflict:
				u.reads = append(u.reads, l)
			default:
				l.then(found{failed: true})
			}
		}
	})
	c.send(StateTxn{ID: id, Txn: wire.Txn{If: conds}})
}

// runReads reads jobs, a few at a time. Jobs move from active to final and never
// back, so the final key is read second.
func (u *users) runReads() {
	c := u.c
	for u.readBusy < 4 && len(u.reads) > 0 {
		l := u.reads[0]
		u.reads = u.reads[1:]
		u.readBusy++
		end := func(f found) {
			u.readBusy--
			l.then(f)
		}
		id := c.stateCall(func(r Result) {
			switch r.Outcome {
			case call.OK:
				var v activeValue
				if json.Unmarshal(r.Item.Value, &v) != nil || v.Job == nil {
					end(found{failed: true})
					return
				}
				e := &entry{v, r.Item.Version}
				if l.existence {
					end(found{entry: e})
					return
				}
				if v.CancelledMS != 0 {
					c.learn(l.id, r.Item.Value, r.Item.Version)
					u.cancelled(l.id, e, end)
					return
				}
				if len(v.Job.Needs) > 0 {
					c.learn(l.id, r.Item.Value, r.Item.Version)
					if !u.mayTell(l.id, e, end) {
						return
					}
				}
				end(found{entry: e})
			case call.Missing:
				id := c.stateCall(func(r Result) {
					var v finalValue
					switch {
					case r.Outcome == call.Missing:
						end(found{})
					case r.Outcome == call.OK && json.Unmarshal(r.Item.Value, &v) == nil:
						c.keepFinal(l.id, v)
						end(found{final: &v})
					default:
						end(found{failed: true})
					}
				})
				c.send(StateGet{ID: id, Key: keyFinal + l.id})
			default:
				end(found{failed: true})
			}
		})
		c.send(StateGet{ID: id, Key: keyActive + l.id})
	}
}

// runSubmits commits waiting jobs. They share a transaction; where one of them is
// known already, the others go into the next.
func (u *users) runSubmits() {
	c := u.c
	if u.submitBusy || len(u.submits) == 0 {
		return
	}
	var txn wire.Txn
	n, size := 0, 0
	for ; n < len(u.submits) && n < c.limits.changes(); n++ {
		s := u.submits[n]
		size += len(s.value) + 256
		if n > 0 && size > wire.MaxBody*3/4 {
			break
		}
		id := s.job.ID
		txn.If = append(txn.If, wire.Cond{Key: keyActive + id}, wire.Cond{Key: keyFinal + id})
		txn.Then = append(txn.Then, wire.Op{Put: keyActive + id, Value: s.value})
	}
	batch := append([]*submission(nil), u.submits[:n]...)
	u.submits = append(u.submits[:0], u.submits[n:]...)
	u.submitBusy = true
	id := c.stateCall(func(r Result) {
		u.submitBusy = false
		failed := map[string]bool{}
		for _, k := range r.Txn.Failed {
			failed[k] = true
		}
		for _, s := range batch {
			id := s.job.ID
			s.tries++
			switch {
			case r.Outcome == call.OK:
				u.settle(s, func(req uint64) {
					u.done(req, 201, wire.JobState{ID: id, State: wire.JobPending})
				})
			case r.Outcome == call.Conflict && (failed[keyActive+id] || failed[keyFinal+id]):
				delete(u.submitting, id)
				u.reads = append(u.reads, &lookup{id: id, then: func(f found) {
					for _, req := range s.reqs {
						if !f.failed && (f.entry != nil || f.final != nil) {
							u.done(req, 200, c.stateOf(id, f))
						} else {
							u.unsure(req)
						}
					}
				}})
			case r.Outcome == call.Conflict && s.tries < 4:
				u.submits = append(u.submits, s)
			default:
				// Refused, or unknown: it may be there, or come yet. The repeat
				// finds out.
				u.settle(s, u.unsure)
			}
		}
	})
	c.send(StateTxn{ID: id, Txn: txn})
}

func (u *users) settle(s *submission, f func(req uint64)) {
	delete(u.submitting, s.job.ID)
	for _, req := range s.reqs {
		f(req)
	}
}

func finalState(id string, f finalValue) wire.JobState {
	zero := 0
	return wire.JobState{ID: id, State: f.State, Done: &f.Done, Running: &zero}
}

// stateOf is what users are told of a job that was found.
func (c *Core) stateOf(id string, f found) wire.JobState {
	if f.final != nil {
		return finalState(id, *f.final)
	}
	n := c.countsOf(id)
	s := wire.JobState{ID: id, State: wire.JobPending, Running: &n[0], Done: &n[1]}
	switch {
	case f.entry.CancelledMS != 0:
		s.State = wire.JobCancelled
	case n[0] > 0:
		s.State = wire.JobRunning
	}
	return s
}

func (c *Core) countsOf(id string) counts {
	if c.lead != nil {
		if j := c.lead.jobs[id]; j != nil {
			return j.counts()
		}
	}
	return c.dir.countShards[countShard(id)][id]
}

// admission tells what becomes of a submission.
type admission int

const (
	fits admission = iota
	never
	undecided
)

// admissionOf tells whether a job can ever run here.
func (c *Core) admissionOf(j *wire.Job) admission {
	team := c.team(j.Team)
	if team == nil {
		return never
	}
	n := 1.0
	if j.Kind == wire.KindService {
		n = float64(j.Tasks)
	}
	if over(n*j.CPUs, team.CPUsMax) || over(n*j.GPUs, team.GPUsMax) {
		return never
	}
	if c.catalog == nil {
		return undecided
	}
	zones := map[string]bool{}
	for i := range c.catalog {
		t := &c.catalog[i]
		if !allowsType(j, t.Name) || j.CPUs > t.CPUs || j.GPUs > t.GPUs || j.MemoryGB > t.MemoryGB {
			continue
		}
		for _, z := range t.Zones {
			if j.Zone == "" || j.Zone == z {
				zones[z] = true
			}
		}
	}
	if len(zones) == 0 {
		return never
	}
	if j.Spread && j.Tasks > 1 && (j.OneZone || len(zones) < 2) {
		return never
	}
	return fits
}

// over tells whether an amount breaks a limit; a limit of 0 is none.
func over(amount, limit float64) bool { return limit > 0 && amount > limit+1e-9 }

func allowsType(j *wire.Job, name string) bool {
	if j.Types == nil {
		return true
	}
	for _, t := range j.Types {
		if t == name {
			return true
		}
	}
	return false
}
