package core

import (
	"encoding/json"
	"time"

	"bitternwing/internal/call"
	"bitternwing/internal/wire"
)

// lookup finds out what a job's state is.
type lookup struct {
	id    string
	entry *entry // what the cache says; nil: no such job
	then  func(found)
	// patient: whoever asks can wait a little, so that one comparison does for many.
	patient bool
	// existence: all that is asked is whether the job was accepted; nothing of it is told.
	existence bool
}

// found is a lookup's result.
type found struct {
	failed bool        // could not be confirmed
	entry  *entry      // active
	final  *finalValue // done or cancelled
}

// find looks a job up. A cached cancellation stands without asking, once all nodes know it.
func (u *users) find(id string, then func(found)) { u.look(&lookup{id: id, then: then}) }

// look carries out a lookup.
func (u *users) look(l *lookup) {
	id, then := l.id, l.then
	if !u.c.dir.ready {
		then(found{failed: true})
		return
	}
	e := u.c.dir.jobs[id]
	if e.cancelled() {
		u.cancelled(id, e, then)
		return
	}
	if e != nil && len(e.Job.Dependencies) > 0 && !u.mayTell(id, e, then) {
		return
	}
	l.entry = e
	u.checks = append(u.checks, l)
	if !l.patient || u.c.stateDown {
		u.checkAt = min(u.checkAt, u.checkedAt+u.c.t.batchGap)
	}
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
	var conds []wire.Condition
	n := 0
	for ; n < len(u.checks) && len(conds)+2 <= most; n++ {
		l := u.checks[n]
		if l.entry != nil {
			conds = append(conds, wire.Condition{Key: keyActive + l.id, Version: l.entry.version})
		} else {
			conds = append(conds, wire.Condition{Key: keyActive + l.id}, wire.Condition{Key: keyFinal + l.id})
		}
	}
	batch := append([]*lookup(nil), u.checks[:n]...)
	u.checks = append(u.checks[:0], u.checks[n:]...)
	u.checkBusy = true
	u.checkedAt = c.now.Steady
	u.checkAt = c.now.Steady + c.t.batchGap
	if len(u.checks) == 0 {
		gap := time.Duration(float64(c.t.moment) * c.slower())
		u.checkAt = c.aligned(c.now.Steady + max(c.t.batchGap, gap))
	}
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
					c.learn(l.id, r.Item.Value, r.Item.Version, fromRead)
					u.cancelled(l.id, e, end)
					return
				}
				if len(v.Job.Dependencies) > 0 {
					c.learn(l.id, r.Item.Value, r.Item.Version, fromRead)
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
