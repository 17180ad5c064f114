package core

import (
	"encoding/json"

	"bitternwing/internal/election"
	"bitternwing/internal/outcome"
	"bitternwing/internal/record"
	"bitternwing/internal/stored"
	"bitternwing/internal/wire"
)

// encodeTerm gives a term as it is to be written: in the format that it has already, under a layout of the run records.
func (c *Core) encodeTerm(t stored.Term, layout record.Layout) (json.RawMessage, error) {
	return t.Encode(c.cache.TermFormat(), layout)
}

// termFormatUpgrade has the term written in another form.
type termFormatUpgrade struct {
	target   stored.TermFormat // nothing else is written until it is settled; openTerm: none
	inFlight bool
}

// request asks for a form.
func (g *termFormatUpgrade) request(form stored.TermFormat) { g.target = max(g.target, form) }

// upgradeTermFormat writes the term anew where that is wanted, once no other write is on its way.
func (l *leader) upgradeTermFormat() {
	c, g := l.core, &l.termUpgrade
	if g.target <= c.cache.TermFormat() {
		g.target = stored.BaseTermFormat
	}
	if g.target == stored.BaseTermFormat || g.inFlight || l.writer.inFlight > 0 || l.layoutMigration.requested || c.storeDown || !c.election.LeaseValid() {
		return
	}
	form := g.target
	value, err := stored.Term{Number: l.term, Node: c.settings.Node}.Encode(form, l.recordLayout)
	if err != nil {
		return
	}
	g.inFlight = true
	id := l.registerStoreCall(func(r Result) {
		g.inFlight, g.target = false, stored.BaseTermFormat
		switch r.Outcome {
		case outcome.OK:
			l.termVersion = r.Txn.Revision
			c.cache.ObserveTerm(stored.Term{Number: l.term, Node: c.settings.Node}, form, l.termVersion)
			c.log(Info, "term format upgraded, older versions can no longer lead", "requires", form.String(), "term", l.term)
		case outcome.Conflict, outcome.Unknown:
			// It was applied, its outcome unknown, or the term has moved on. The next leader finds out.
			c.election.StepDown(election.TermFormatIndeterminate)
		}
	})
	c.emit(StoreTxn{CallID: id, Txn: wire.Txn{If: []wire.Condition{{Key: stored.TermKey, Version: l.termVersion}},
		Then: []wire.Op{{Put: stored.TermKey, Value: value}}}})
}

// quotasDividedElsewhere reports whether this region's limits are divided among regions while this node's settings know of
// none: it would grant the whole limits, and so must not lead.
func (c *Core) quotasDividedElsewhere() bool {
	return c.cache.QuotaAccountCount() > 0 && !c.operator.Regions.Enabled()
}
