package core

import (
	"encoding/json"

	"bitternwing/internal/outcome"
	"bitternwing/internal/record"
	"bitternwing/internal/wire"
)

// A version that knows nothing of plans would start the jobs that they hold as soon as it leads, and one that knows nothing
// of allowances would go by the whole limits of teams. So before the first plan, or the first account, the term is written in a
// form that such versions can't read: none of them wins a term again. Later terms keep the form.

// termFormat is how a term is written; each form can be read by fewer versions than the one before.
type termFormat int

const (
	baseTermFormat     termFormat = iota // by all, or by those that know the second layout of run records
	rolloutsTermFormat                   // by those that know plans
	quotasTermFormat                     // by those that know allowances
)

// plansTermValue and regionsTermValue are terms in those forms.
type (
	rolloutsTermRecord struct {
		Term [1]uint64 `json:"term"`
		Node string    `json:"node"`
	}
	quotasTermRecord struct {
		Term [1][1]uint64 `json:"term"`
		Node string       `json:"node"`
	}
)

// decodeVersionedTerm reads a term in a form that not all versions can read.
func decodeVersionedTerm(value json.RawMessage) (termRecord, termFormat, bool) {
	if t, ok := decode[rolloutsTermRecord](value); ok {
		return termRecord{Term: t.Term[0], Node: t.Node}, rolloutsTermFormat, true
	}
	t, ok := decode[quotasTermRecord](value)
	return termRecord{Term: t.Term[0][0], Node: t.Node}, quotasTermFormat, ok
}

// encode gives a term in a form that not all versions can read.
func (f termFormat) encode(t termRecord) (json.RawMessage, error) {
	if f == quotasTermFormat {
		return json.Marshal(quotasTermRecord{Term: [1][1]uint64{{t.Term}}, Node: t.Node})
	}
	return json.Marshal(rolloutsTermRecord{Term: [1]uint64{t.Term}, Node: t.Node})
}

// encodeTermForStore gives a term as it is to be written: in the form that it has already, or in that of a layout.
func (c *Core) encodeTermForStore(t termRecord, layout record.Layout) (json.RawMessage, error) {
	if c.cache.termForm > baseTermFormat {
		return c.cache.termForm.encode(t)
	}
	return encodeTerm(t, layout)
}

// termFormatUpgrade has the term written in another form.
type termFormatUpgrade struct {
	target   termFormat // nothing else is written until it is settled; openTerm: none
	inFlight bool
}

// request asks for a form.
func (g *termFormatUpgrade) request(form termFormat) { g.target = max(g.target, form) }

// upgradeTermFormat writes the term anew where that is wanted, once no other write is on its way.
func (l *leader) upgradeTermFormat() {
	c, g := l.core, &l.termUpgrade
	if g.target <= c.cache.termForm {
		g.target = baseTermFormat
	}
	if g.target == baseTermFormat || g.inFlight || l.writer.inFlight > 0 || l.layoutMigration.requested || c.storeDown || !c.election.leaseValid() {
		return
	}
	form := g.target
	value, err := form.encode(termRecord{l.term, c.settings.Node})
	if err != nil {
		return
	}
	g.inFlight = true
	id := l.stateCall(func(r Result) {
		g.inFlight, g.target = false, baseTermFormat
		switch r.Outcome {
		case outcome.OK:
			l.termVersion = r.Txn.Revision
			if l.termVersion > c.cache.termVersion {
				c.cache.term, c.cache.termVersion, c.cache.termForm = termRecord{l.term, c.settings.Node}, l.termVersion, form
			}
			c.log(Info, "term format upgraded, older versions can no longer lead", "requires", form.String(), "term", l.term)
		case outcome.Conflict, outcome.Unknown:
			// It was applied, its outcome unknown, or the term has moved on. The next leader finds out.
			c.election.stepDown("the form of the term may have changed")
		}
	})
	c.emit(StoreTxn{CallID: id, Txn: wire.Txn{If: []wire.Condition{{Key: termKey, Version: l.termVersion}},
		Then: []wire.Op{{Put: termKey, Value: value}}}})
}

// String names what a version has to know to read a form.
func (f termFormat) String() string {
	switch f {
	case rolloutsTermFormat:
		return "rollout plans"
	case quotasTermFormat:
		return "limits across regions"
	}
	return "run records"
}
