package core

// A direct start may come late, or be repeated on the way, for as long as its token
// and session match. That ends once the worker has seen a higher token. So each
// machine has a token of its own within the term's range, and it is raised where the
// end of a direct start matters: with a forget, after which a repeat would run the
// attempt again, and when a report lacks the attempt, before it counts as absent.

// fencingTokensPerTerm is the range of a term's tokens.
const fencingTokensPerTerm = 1_000_000

func firstFencingToken(term uint64) uint64   { return term * fencingTokensPerTerm }
func termOfFencingToken(token uint64) uint64 { return token / fencingTokensPerTerm }

// fencingToken gives the token for a machine, no lower than this term's first.
func (l *leader) fencingToken(m *machine) uint64 {
	m.fencingToken = max(m.fencingToken, firstFencingToken(l.term))
	return m.fencingToken
}

// raiseFencingToken makes a machine's token higher than one that was used with it.
func (l *leader) raiseFencingToken(m *machine, used uint64) {
	if used >= l.fencingToken(m) {
		m.fencingToken = used + 1
	}
}

// mayStartDirectly tells whether the term's range has tokens left for direct starts.
func (l *leader) mayStartDirectly(m *machine) bool {
	return l.fencingToken(m)%fencingTokensPerTerm < fencingTokensPerTerm/2
}
