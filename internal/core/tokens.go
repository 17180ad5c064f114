package core

// A direct start may come late, or be repeated on the way, for as long as its token
// and session match. That ends once the worker has seen a higher token. So each
// machine has a token of its own within the term's range, and it is raised where the
// end of a direct start matters: with a forget, after which a repeat would run the
// attempt again, and when a report lacks the attempt, before it counts as absent.

// tokensPerTerm is the range of a term's tokens.
const tokensPerTerm = 1_000_000

func firstToken(term uint64) uint64 { return term * tokensPerTerm }
func termOf(token uint64) uint64    { return token / tokensPerTerm }

// token gives the token for a machine, no lower than this term's first.
func (l *leader) token(m *machine) uint64 {
	m.current = max(m.current, firstToken(l.term))
	return m.current
}

// raise makes a machine's token higher than one that was used with it.
func (l *leader) raise(m *machine, used uint64) {
	if used >= l.token(m) {
		m.current = used + 1
	}
}

// mayOrder tells whether the term's range has tokens left for direct starts.
func (l *leader) mayOrder(m *machine) bool { return l.token(m)%tokensPerTerm < tokensPerTerm/2 }
