package core

// termCalls registers the calls that a leader makes in its term. The leader's components share it.
type termCalls struct {
	core  *Core
	owner *leader
}

// registerCall registers the handler of a call's result and returns the call's ID. The handler is called only if the
// term has not ended by then.
func (t termCalls) registerCall(handle resultHandler) uint64 {
	return t.core.registerCall(func(r Result) {
		if t.core.leader == t.owner {
			handle(r)
		}
	})
}

// registerStoreCall is registerCall for a call to the key-value store.
func (t termCalls) registerStoreCall(handle resultHandler) uint64 {
	return t.core.registerStoreCall(func(r Result) {
		if t.core.leader == t.owner {
			handle(r)
		}
	})
}
