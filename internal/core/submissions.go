package core

import (
	"encoding/json"

	"bitternwing/internal/call"
	"bitternwing/internal/wire"
)

// submission is a job waiting to be committed; repeats of it wait with it.
type submission struct {
	job   *wire.Job
	value json.RawMessage
	reqs  []uint64
	tries int
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
	case len(in.Job.Dependencies) > c.limits.mostNeeds():
		u.repeated(in, refusal{status: 400, why: wire.FieldDependencies + ": names too many jobs"})
	case len(in.Job.Dependencies) > 0:
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
		txn.If = append(txn.If, wire.Condition{Key: keyActive + id}, wire.Condition{Key: keyFinal + id})
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
