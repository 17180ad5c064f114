package core

import (
	"encoding/json"

	"bitternwing/internal/election"
	"bitternwing/internal/outcome"
	"bitternwing/internal/record"
	"bitternwing/internal/stored"
	"bitternwing/internal/wire"
)

// encodeTerm returns a term's stored form, in the current term format and for a layout of the run records.
func (c *Core) encodeTerm(t stored.Term, layout record.Layout) (json.RawMessage, error) {
	return t.Encode(c.cache.TermFormat(), layout)
}

// termFormatUpgrade rewrites the current term in a format that older versions can't read, so that none of them wins
// another term. This precedes the first write of any state that they would ignore (stored.TermFormat). Later terms keep
// the format.
type termFormatUpgrade struct {
	leader   *leader
	target   stored.TermFormat // stored.BaseTermFormat: no upgrade is pending
	inFlight bool
}

// request schedules an upgrade to at least the given format.
func (u *termFormatUpgrade) request(format stored.TermFormat) { u.target = max(u.target, format) }

// pending reports whether an upgrade is requested or in flight. The writer sends nothing until it is settled.
func (u *termFormatUpgrade) pending() bool { return u.target != stored.BaseTermFormat }

// run writes the term in the target format once no other writes are in flight.
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

// mayWrite reports whether the leader may commit and none of the writer's transactions, nor a layout migration, is in
// flight. They are conditional on the version of the term key, which the upgrade changes.
func (u *termFormatUpgrade) mayWrite() bool {
	l := u.leader
	return l.writer.inFlight == 0 && !l.layoutMigration.requested && l.mayCommit()
}

// termFormatWrite is a write of the term in another format.
type termFormatWrite struct {
	upgrade *termFormatUpgrade
	format  stored.TermFormat
}

// handleResult adopts the new version of the term key. If the outcome is unknown, or if an earlier attempt or a newer
// term has changed the term key, the leader steps down, since it no longer knows on which version its writes must be
// conditional.
func (w *termFormatWrite) handleResult(r Result) {
	u := w.upgrade
	u.inFlight, u.target = false, stored.BaseTermFormat
	if r.Outcome == outcome.OK {
		w.adoptFormat(r.Txn.Revision)
		return
	}
	if r.Outcome == outcome.Conflict || r.Outcome == outcome.Unknown {
		u.leader.core.election.StepDown(election.TermFormatIndeterminate)
	}
}

// adoptFormat continues the term in the new format.
func (w *termFormatWrite) adoptFormat(version uint64) {
	l, c := w.upgrade.leader, w.upgrade.leader.core
	l.termVersion = version
	c.cache.ObserveTerm(l.storedTerm(), w.format, version)
	c.log(Info, "term format upgraded, older versions can no longer lead", "requires", w.format.String(), "term", l.term)
}

// storedTerm returns this leader's term as it is stored.
func (l *leader) storedTerm() stored.Term {
	return stored.Term{Number: l.term, Node: l.core.settings.Node}
}
