package core

import (
	"encoding/json"
	"maps"
	"slices"

	"bitternwing/internal/call"
	"bitternwing/internal/record"
	"bitternwing/internal/rollout"
	"bitternwing/internal/wire"
)

// keyPlans is where the plans of rollouts are, by name. Without plans there is no key.
const keyPlans = "w/p/"

// storedPlan is a plan as a node has read it.
type storedPlan struct {
	record  *rollout.Record // nil: nothing of it can be read
	problem error           // why the plan is left alone; nil: it can be read
	version uint64
}

// plansOf keeps the plans that are watched, and which plan a job belongs to.
type plansOf struct {
	byName map[string]*storedPlan
	byJob  map[string]string
}

func newPlansOf() plansOf {
	return plansOf{byName: map[string]*storedPlan{}, byJob: map[string]string{}}
}

// apply takes a plan's value, or its end where value is nil. What can't be read any more leaves the jobs as
// they were: its last readable record goes on holding them.
func (p *plansOf) apply(name string, value json.RawMessage, version uint64) {
	old := p.byName[name]
	if old != nil && old.version >= version {
		return
	}
	if value == nil {
		delete(p.byName, name)
	} else {
		record, err := rollout.Decode(value)
		if record == nil && old != nil {
			record = old.record
		}
		p.byName[name] = &storedPlan{record: record, problem: err, version: version}
	}
	p.index()
}

// index works out anew which plan each job belongs to.
func (p *plansOf) index() {
	clear(p.byJob)
	for _, name := range slices.Sorted(maps.Keys(p.byName)) {
		if record := p.byName[name].record; record != nil {
			for _, id := range record.Plan.Jobs() {
				p.byJob[id] = name
			}
		}
	}
}

// reread takes plans that were read anew, up to a revision. What was heard of since stays.
func (p *plansOf) reread(read plansOf, revision uint64) {
	for name, old := range p.byName {
		if now := read.byName[name]; old.version > revision && (now == nil || now.version < old.version) {
			read.byName[name] = old
		}
	}
	*p = read
	p.index()
}

// A version that knows nothing of plans would start the jobs that they hold as soon as it leads. So before the
// first plan is taken every controller has to say that it knows them, and the term is written in a form that older
// versions can't read: none of them wins a term again. Later terms keep the form.

// guardedTerm is a term in that form.
type guardedTerm struct {
	Term [1]uint64 `json:"term"`
	Node string    `json:"node"`
}

func decodeGuardedTerm(value json.RawMessage) (termValue, bool) {
	t, ok := decode[guardedTerm](value)
	return termValue{Term: t.Term[0], Node: t.Node}, ok
}

// encodeTermIn gives a term as it is to be written: guarded if it is so already, else in the form of a layout.
func (c *Core) encodeTermIn(t termValue, layout record.Layout) (json.RawMessage, error) {
	if c.dir.termGuarded {
		return json.Marshal(guardedTerm{Term: [1]uint64{t.Term}, Node: t.Node})
	}
	return encodeTerm(t, layout)
}

// allKnowPlans tells whether all other nodes have said that their version knows plans.
func (c *Core) allKnowPlans() bool {
	return !slices.ContainsFunc(c.peers, func(p *peer) bool { return !p.knowsPlans })
}

// termGuard has the term written in the guarded form, once.
type termGuard struct {
	wanted bool // nothing else is written until it is settled
	busy   bool
}

// guardTerm writes the term anew where that is wanted, once no other write is on its way.
func (l *leader) guardTerm() {
	c, g := l.c, &l.guard
	if !g.wanted || g.busy || l.writes.inFlight > 0 || l.change.wanted || c.stateDown || !c.elect.inTime() {
		return
	}
	value, err := json.Marshal(guardedTerm{Term: [1]uint64{l.term}, Node: c.set.Node})
	if err != nil {
		return
	}
	g.busy = true
	id := l.stateCall(func(r Result) {
		g.busy, g.wanted = false, false
		switch r.Outcome {
		case call.OK:
			l.version = r.Txn.Revision
			if l.version > c.dir.termVersion {
				c.dir.term, c.dir.termVersion, c.dir.termGuarded = termValue{l.term, c.set.Node}, l.version, true
			}
			c.log(Info, "only versions that know rollout plans may lead from now on", "term", l.term)
		case call.Conflict, call.Unknown:
			// It was applied, its outcome unknown, or the term has moved on. The next leader finds out.
			c.elect.stepDown("the form of the term may have changed")
		}
	})
	c.send(StateTxn{ID: id, Txn: wire.Txn{If: []wire.Cond{{Key: keyTerm, Version: l.version}},
		Then: []wire.Op{{Put: keyTerm, Value: value}}}})
}
