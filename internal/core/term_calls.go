package core

// termCalls registers calls of a term. The leader's components share it.
type termCalls struct {
	core  *Core
	owner *leader // whose term it is
}

// registerCall registers the handler of a call's result. It is called only if this term still lasts.
func (t termCalls) registerCall(handle resultHandler) uint64 {
	return t.core.registerCall(func(r Result) {
		if t.core.leader == t.owner {
			handle(r)
		}
	})
}

// registerStoreCall is registerCall for a call of the key-value store.
func (t termCalls) registerStoreCall(handle resultHandler) uint64 {
	return t.core.registerStoreCall(func(r Result) {
		if t.core.leader == t.owner {
			handle(r)
		}
	})
}
