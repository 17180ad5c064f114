package core

import (
	"slices"
	"time"

	"bitternwing/internal/outcome"
	"bitternwing/internal/stored"
)

// A leader may have lost its term without knowing it yet, so what it may do depends on what it can be certain of:
//
//   - mayCommit: its lease is valid and the key-value store is available. It makes decisions and commits them by writes
//     that are conditional on its term.
//   - hasAuthority: its lease is valid, or no other node can have won a newer term. It acts on committed decisions: it
//     renews the leases of workers, stops tasks and releases machines.
//   - Without authority it only waits until its lease is renewed or lost (election.Election).

// leaderAuthority determines what a leader may do now. The leader's components share it.
type leaderAuthority struct{ core *Core }

// mayCommit reports whether this leader may make decisions and commit them.
func (a leaderAuthority) mayCommit() bool {
	return !a.core.storeHealth.down && a.core.election.LeaseValid()
}

// hasAuthority reports whether this leader may act on committed decisions.
func (a leaderAuthority) hasAuthority() bool {
	return a.core.election.LeaseValid() || a.core.storeOutageConfirmed()
}

// hasAuthorityAt is hasAuthority at a given time, for status queries: it schedules no wake-up for the lease's expiry.
func (a leaderAuthority) hasAuthorityAt(now time.Duration) bool {
	return a.core.election.LeaseValidAt(now) || a.core.storeOutageConfirmed()
}

// storeOutageConfirmed reports whether every peer recently said that the key-value store is unavailable to it too, and
// none has seen a newer term. No node can then win one.
func (c *Core) storeOutageConfirmed() bool {
	return c.members.StoreOutageConfirmed(c.now.Steady, c.cache.Term().Number)
}

// termSuperseded reports whether a conditional write failed because a newer term has begun. The leader must then step
// down.
func termSuperseded(r Result) bool {
	return r.Outcome == outcome.Conflict && slices.Contains(r.Txn.Failed, stored.TermKey)
}
