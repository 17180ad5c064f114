package core

import (
	"encoding/json"

	"bitternwing/internal/dependency"
	"bitternwing/internal/wire"
)

// This file is what users' requests do about jobs that need others.

// needsCheck finds out whether all jobs that a submission names were accepted.
type needsCheck struct {
	in     Submit
	open   int    // reads without an answer
	failed bool   // one could not be answered
	refuse string // a job that can't be needed
}

// submitDependent takes a submission that needs other jobs, once the state service has said of each that
// it was accepted: this node's own view may be behind another's, and a job may have ended long ago.
func (u *users) submitDependent(in Submit) {
	check := &needsCheck{in: in}
	var unknown []string
	for _, id := range in.Job.Dependencies {
		e, seen := u.c.dir.jobs[id], false
		if e == nil {
			_, seen = u.c.dir.finals[id]
		}
		switch {
		case e != nil:
			check.examine(id, e)
		case !seen && !wire.ValidJobID(id):
			check.refuse = id
		case !seen:
			unknown = append(unknown, id)
		}
	}
	if check.refuse != "" {
		unknown = nil
	}
	if len(unknown) > 0 && len(u.reads) > u.c.op.MaxPendingRequests {
		u.unsure(in.Req) // the queue of reads is full
		return
	}
	check.open = len(unknown)
	for _, id := range unknown {
		u.reads = append(u.reads, &lookup{id: id, existence: true, then: func(f found) {
			check.open--
			switch {
			case f.failed:
				check.failed = true
			case f.entry != nil:
				check.examine(id, f.entry)
			case f.final == nil:
				check.refuse = id
			}
			if check.open == 0 {
				u.decideDependent(check)
			}
		}})
	}
	if check.open == 0 {
		u.decideDependent(check)
	}
}

// examine refuses a needed job that never ends by itself.
func (n *needsCheck) examine(id string, e *entry) {
	if e.Job.Kind == wire.KindService {
		n.refuse = id
	}
}

func (u *users) decideDependent(check *needsCheck) {
	switch {
	case check.refuse != "":
		// The same words whatever the cause: nothing is told of another's job.
		u.repeated(check.in, refusal{status: 422, why: wire.FieldDependencies + ": " + check.refuse + " can't be waited for"})
	case check.failed:
		u.unsure(check.in.Req)
	default:
		u.enqueue(check.in)
	}
}

// mayTell tells whether users may be told the state of an active job as its own key has it. If not, it
// sees to the answer: a job that needs a cancelled one is cancelled with it, and where the end of one
// that it needs is not known here yet nothing can be said.
func (u *users) mayTell(id string, e *entry, then func(found)) bool {
	switch u.c.deps.graph.Of(id).State {
	case dependency.Unresolved:
		then(found{failed: true})
		return false
	case dependency.Cancelled:
		u.cancelDependent(id, e, then)
		return false
	case dependency.Ready, dependency.Waiting:
	}
	return true
}

// cancelDependent cancels a job that needs a cancelled one, for whoever asks about it. The leader does so
// as well, in its own time. Several who ask at once share one write.
func (u *users) cancelDependent(id string, e *entry, then func(found)) {
	asking, busy := u.cancelling[id]
	u.cancelling[id] = append(asking, then)
	if busy {
		return
	}
	u.commitCancel(id, e, func(r cancelResult) {
		asking := u.cancelling[id]
		delete(u.cancelling, id)
		for _, then := range asking {
			switch r {
			case cancelTold:
				then(found{entry: u.c.cancelledEntry(id, e)})
			case cancelChanged:
				u.reads = append(u.reads, &lookup{id: id, then: then})
			case cancelUnsure:
				then(found{failed: true})
			}
		}
	})
}

// cancelledEntry gives a job as it is after its cancellation was written.
func (c *Core) cancelledEntry(id string, before *entry) *entry {
	if e := c.dir.jobs[id]; e.cancelled() {
		return e
	}
	e := *before
	e.CancelledMS = max(1, c.now.WallMS)
	return &e
}

// encodeActive gives an active job as it is stored. A cancellation rewrites the whole of it, and the
// value that was accepted may be larger than what the state service takes by now: what only tells where
// the job may start is of no use any more and goes.
func (c *Core) encodeActive(v activeValue) (json.RawMessage, error) {
	value, err := json.Marshal(v)
	if err != nil || len(value) <= c.limits.valueBytes() || v.CancelledMS == 0 {
		return value, err
	}
	short := *v.Job
	short.Class, short.Image, short.Zone, short.MachineTypes, short.Dependencies = "", "", "", nil, nil
	v.Job = &short
	return json.Marshal(v)
}
