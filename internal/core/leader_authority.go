package core

import (
	"slices"
	"time"

	"bitternwing/internal/outcome"
	"bitternwing/internal/stored"
)

// A leader may have lost its term without knowing. What it may do follows from what it can be certain of:
//
//   - mayCommit: its lease is valid and the key-value store serves it. It decides, and commits what it decides by writes that
//     are conditional on its term.
//   - hasAuthority: its lease is valid, or nobody can have won a newer term. It acts on what is committed: it renews the leases
//     of workers, stops tasks and releases machines.
//   - Without authority it only waits for its lease to be renewed or lost (election.Election).

// leaderAuthority answers what a leader may do now. The leader's components share it.
type leaderAuthority struct{ core *Core }

// mayCommit reports whether this leader may decide, and commit it.
func (a leaderAuthority) mayCommit() bool {
	return !a.core.storeHealth.down && a.core.election.LeaseValid()
}

// hasAuthority reports whether this leader may act on what is committed.
func (a leaderAuthority) hasAuthority() bool {
	return a.core.election.LeaseValid() || a.core.storeOutageConfirmed()
}

// hasAuthorityAt is hasAuthority for an observer: the core is not woken when the lease expires.
func (a leaderAuthority) hasAuthorityAt(now time.Duration) bool {
	return a.core.election.LeaseValidAt(now) || a.core.storeOutageConfirmed()
}

// storeOutageConfirmed reports whether every peer says that the key-value store does not serve it either and none has seen a
// newer term: nobody can then win one.
func (c *Core) storeOutageConfirmed() bool {
	return c.members.StoreOutageConfirmed(c.now.Steady, c.cache.Term().Number)
}

// termSuperseded reports whether a conditional write failed because a newer term has begun. The leader then steps down.
func termSuperseded(r Result) bool {
	return r.Outcome == outcome.Conflict && slices.Contains(r.Txn.Failed, stored.TermKey)
}
