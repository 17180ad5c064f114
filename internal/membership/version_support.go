package membership

// AllSupportRecordLayout reports whether every peer has reported that its version can read the given layout of run
// records.
func (m *Members) AllSupportRecordLayout(layout uint32) bool {
	for _, p := range m.peers {
		if p.maxRecordLayout < layout {
			return false
		}
	}
	return true
}

// AllSupportRollouts reports whether every peer has reported that its version implements rollout plans.
func (m *Members) AllSupportRollouts() bool {
	for _, p := range m.peers {
		if !p.supportsRollouts {
			return false
		}
	}
	return true
}
