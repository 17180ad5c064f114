package membership

import "time"

// AllPeersLostStore reports whether every peer recently answered that the key-value store is unavailable to it,
// regardless of the terms they know. The result is false if any peer does not answer, because that peer may still reach
// the store.
func (m *Members) AllPeersLostStore(now time.Duration) bool {
	for _, p := range m.peers {
		if !m.RecentlyHeard(p, now) || !p.status.StoreDown {
			return false
		}
	}
	return true
}

// StoreOutageConfirmed reports whether every peer recently answered that the key-value store is unavailable to it, and
// none knows a term newer than the given one. In that case no node can win a newer term.
func (m *Members) StoreOutageConfirmed(now time.Duration, term uint64) bool {
	for _, p := range m.peers {
		if p.status.Term > term {
			return false
		}
	}
	return m.AllPeersLostStore(now)
}

// AnyPeerReachesStore reports whether the key-value store is available to a peer that was recently heard from.
func (m *Members) AnyPeerReachesStore(now time.Duration) bool {
	for _, p := range m.peers {
		if m.RecentlyHeard(p, now) && !p.status.StoreDown {
			return true
		}
	}
	return false
}
