package core

import (
	"encoding/json"

	"bitternwing/internal/call"
	"bitternwing/internal/record"
	"bitternwing/internal/wire"
)

// A version that knows nothing of plans would start the jobs that they hold as soon as it leads, and one that knows nothing
// of allowances would go by the whole limits of teams. So before the first plan, or the first account, the term is written in a
// form that such versions can't read: none of them wins a term again. Later terms keep the form.

// termForm is how a term is written; each form can be read by fewer versions than the one before.
type termForm int

const (
	openTerm    termForm = iota // by all, or by those that know the second layout of run records
	plansTerm                   // by those that know plans
	regionsTerm                 // by those that know allowances
)

// plansTermValue and regionsTermValue are terms in those forms.
type (
	plansTermValue struct {
		Term [1]uint64 `json:"term"`
		Node string    `json:"node"`
	}
	regionsTermValue struct {
		Term [1][1]uint64 `json:"term"`
		Node string       `json:"node"`
	}
)

// decodeGuardedTerm reads a term in a form that not all versions can read.
func decodeGuardedTerm(value json.RawMessage) (termValue, termForm, bool) {
	if t, ok := decode[plansTermValue](value); ok {
		return termValue{Term: t.Term[0], Node: t.Node}, plansTerm, true
	}
	t, ok := decode[regionsTermValue](value)
	return termValue{Term: t.Term[0][0], Node: t.Node}, regionsTerm, ok
}

// encode gives a term in a form that not all versions can read.
func (f termForm) encode(t termValue) (json.RawMessage, error) {
	if f == regionsTerm {
		return json.Marshal(regionsTermValue{Term: [1][1]uint64{{t.Term}}, Node: t.Node})
	}
	return json.Marshal(plansTermValue{Term: [1]uint64{t.Term}, Node: t.Node})
}

// encodeTermIn gives a term as it is to be written: in the form that it has already, or in that of a layout.
func (c *Core) encodeTermIn(t termValue, layout record.Layout) (json.RawMessage, error) {
	if c.dir.termForm > openTerm {
		return c.dir.termForm.encode(t)
	}
	return encodeTerm(t, layout)
}

// termGuard has the term written in another form.
type termGuard struct {
	wanted termForm // nothing else is written until it is settled; openTerm: none
	busy   bool
}

// want asks for a form.
func (g *termGuard) want(form termForm) { g.wanted = max(g.wanted, form) }

// guardTerm writes the term anew where that is wanted, once no other write is on its way.
func (l *leader) guardTerm() {
	c, g := l.c, &l.guard
	if g.wanted <= c.dir.termForm {
		g.wanted = openTerm
	}
	if g.wanted == openTerm || g.busy || l.writes.inFlight > 0 || l.change.wanted || c.stateDown || !c.elect.inTime() {
		return
	}
	form := g.wanted
	value, err := form.encode(termValue{l.term, c.set.Node})
	if err != nil {
		return
	}
	g.busy = true
	id := l.stateCall(func(r Result) {
		g.busy, g.wanted = false, openTerm
		switch r.Outcome {
		case call.OK:
			l.version = r.Txn.Revision
			if l.version > c.dir.termVersion {
				c.dir.term, c.dir.termVersion, c.dir.termForm = termValue{l.term, c.set.Node}, l.version, form
			}
			c.log(Info, "only versions that know "+form.String()+" may lead from now on", "term", l.term)
		case call.Conflict, call.Unknown:
			// It was applied, its outcome unknown, or the term has moved on. The next leader finds out.
			c.elect.stepDown("the form of the term may have changed")
		}
	})
	c.send(StateTxn{ID: id, Txn: wire.Txn{If: []wire.Condition{{Key: keyTerm, Version: l.version}},
		Then: []wire.Op{{Put: keyTerm, Value: value}}}})
}

// String names what a version has to know to read a form.
func (f termForm) String() string {
	switch f {
	case plansTerm:
		return "rollout plans"
	case regionsTerm:
		return "limits across regions"
	}
	return "run records"
}
