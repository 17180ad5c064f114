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

// termFormatUpgrade writes the present term anew in a format that older versions can't read, so that none of them wins a
// term again. That comes before the first write of what they would disregard (stored.TermFormat). Later terms keep the
// format.
type termFormatUpgrade struct {
	leader   *leader
	target   stored.TermFormat // stored.BaseTermFormat: no upgrade is wanted
	inFlight bool
}

// request asks for a format, or a later one.
func (u *termFormatUpgrade) request(format stored.TermFormat) { u.target = max(u.target, format) }

// pending reports whether an upgrade is wanted or under way. The leader writes nothing else until it is settled.
func (u *termFormatUpgrade) pending() bool { return u.target != stored.BaseTermFormat }

// run writes the term in the target format once no other write is in flight.
func (u *termFormatUpgrade) run() {
	l, c := u.leader, u.leader.core
	if u.target <= c.cache.TermFormat() {
		u.target = stored.BaseTermFormat
	}
	if !u.pending() || u.inFlight || !u.mayWrite() {
		return
	}
	value, err := l.storedTerm().Encode(u.target, l.records.layout)
	if err != nil {
		return
	}
	u.inFlight = true
	write := &termFormatWrite{upgrade: u, format: u.target}
	id := l.registerStoreCall(write.handleResult)
	c.emit(StoreTxn{CallID: id, Txn: wire.Txn{
		If:   []wire.Condition{l.termCondition()},
		Then: []wire.Op{{Put: stored.TermKey, Value: value}},
	}})
}

// mayWrite reports whether the leader may write, and no write is in flight that is conditional on the present version of the
// term key.
func (u *termFormatUpgrade) mayWrite() bool {
	l := u.leader
	return l.writer.inFlight == 0 && !l.layoutMigration.requested && l.mayCommit()
}

// termFormatWrite is the write of a term in another format.
type termFormatWrite struct {
	upgrade *termFormatUpgrade
	format  stored.TermFormat
}

// handleResult takes the new version of the term key. Where the outcome is unknown, or the term key was changed by an earlier
// attempt or a newer term, the leader can't tell which version its writes are to be conditional on.
func (w *termFormatWrite) handleResult(r Result) {
	u := w.upgrade
	u.inFlight, u.target = false, stored.BaseTermFormat
	if r.Outcome == outcome.OK {
		w.applied(r.Txn.Revision)
		return
	}
	if r.Outcome == outcome.Conflict || r.Outcome == outcome.Unknown {
		u.leader.core.election.StepDown(election.TermFormatIndeterminate)
	}
}

// applied goes on with the term in the new format.
func (w *termFormatWrite) applied(version uint64) {
	l, c := w.upgrade.leader, w.upgrade.leader.core
	l.termVersion = version
	c.cache.ObserveTerm(l.storedTerm(), w.format, version)
	c.log(Info, "term format upgraded, older versions can no longer lead", "requires", w.format.String(), "term", l.term)
}

// storedTerm is this leader's term as it is stored.
func (l *leader) storedTerm() stored.Term {
	return stored.Term{Number: l.term, Node: l.core.settings.Node}
}
