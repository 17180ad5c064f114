package core

import (
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
	checkedAt time.Duration // when the last one went out

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
	u.look(&lookup{id: in.ID, patient: true, then: func(f found) {
		switch {
		case f.failed:
			u.unsure(in.Req)
		case f.entry == nil && f.final == nil:
			u.done(in.Req, 404, wire.ErrorBody{Error: "no such job"})
		default:
			u.done(in.Req, 200, c.stateOf(in.ID, f))
		}
	}})
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
			c.learn(id, value, r.Txn.Revision, fromWrite)
			c.cancels.confirm(id, &entry{v, r.Txn.Revision}, func(acknowledged bool) {
				if acknowledged {
					c.logConfirmed(id, r.Txn.Revision)
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
		If:   []wire.Condition{{Key: key, Version: e.version}},
		Then: []wire.Op{{Put: key, Value: value}},
	}})
}

func (u *users) run() {
	u.runChecks()
	u.runReads()
	u.runSubmits()
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
	return c.dir.countsOf(id)
}
