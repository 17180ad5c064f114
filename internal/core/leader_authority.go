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

// mayCommit reports whether this leader may decide, and commit it.
func (l *leader) mayCommit() bool {
	return !l.core.storeHealth.down && l.core.election.LeaseValid()
}

// hasAuthority reports whether this leader may act on what is committed.
func (l *leader) hasAuthority() bool {
	return l.core.election.LeaseValid() || l.core.storeOutageConfirmed()
}

// hasAuthorityAt is hasAuthority for an observer: the core is not woken when the lease expires.
func (l *leader) hasAuthorityAt(now time.Duration) bool {
	return l.core.election.LeaseValidAt(now) || l.core.storeOutageConfirmed()
}

// storeOutageConfirmed reports whether every peer says that the key-value store does not serve it either and none knows a
// newer term: nobody can then win one.
func (c *Core) storeOutageConfirmed() bool {
	return c.members.StoreOutageConfirmed(c.now.Steady, c.cache.Term().Number)
}

// termSuperseded reports whether a conditional write failed because a newer term has begun. The leader then steps down.
func termSuperseded(r Result) bool {
	return r.Outcome == outcome.Conflict && slices.Contains(r.Txn.Failed, stored.TermKey)
}
