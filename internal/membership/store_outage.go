package membership

import "time"

// AllPeersLostStore reports whether every peer recently said that the key-value store does not serve it, whatever
// terms they know. One that does not answer is enough for a no: the store may serve it.
func (m *Members) AllPeersLostStore(now time.Duration) bool {
	for _, p := range m.peers {
		if !m.RecentlyHeard(p, now) || !p.status.StoreDown {
			return false
		}
	}
	return true
}

// StoreOutageConfirmed reports whether every peer recently said that the key-value store does not serve it and none
// knows a term newer than the given one. Nobody can then win a newer term.
func (m *Members) StoreOutageConfirmed(now time.Duration, term uint64) bool {
	for _, p := range m.peers {
		if p.status.Term > term {
			return false
		}
	}
	return m.AllPeersLostStore(now)
}

// AnyPeerServed reports whether the key-value store serves a peer that was recently heard.
func (m *Members) AnyPeerServed(now time.Duration) bool {
	for _, p := range m.peers {
		if m.RecentlyHeard(p, now) && !p.status.StoreDown {
			return true
		}
	}
	return false
}
