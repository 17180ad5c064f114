package core

import (
	"bitternwing/internal/wire"
)

// resultHandler takes in the result of a call.
type resultHandler func(Result)

// registerCall registers the handler of a call's result and gives the call's ID.
func (c *Core) registerCall(handle resultHandler) uint64 {
	c.lastCallID++
	c.pendingCalls[c.lastCallID] = handle
	return c.lastCallID
}

// registerStoreCall registers a call of the key-value store: its result also shows whether the store serves this node.
func (c *Core) registerStoreCall(handle resultHandler) uint64 {
	return c.registerCall(func(r Result) {
		c.storeHealth.observe(r.Outcome)
		handle(r)
	})
}

// handleResult hands a result to the handler of its call. A second result of the same call has none.
func (c *Core) handleResult(r Result) {
	handle := c.pendingCalls[r.CallID]
	if handle == nil {
		return
	}
	delete(c.pendingCalls, r.CallID)
	handle(r)
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// respond ends a request.
func (c *Core) respond(requestID uint64, status int, body any) {
	c.emit(Response{RequestID: requestID, Status: status, Body: body})
}

// respondRetryLater asks a user to come back. It is the only response where nothing can be confirmed now, and it is sent
// at once.
func (c *Core) respondRetryLater(requestID uint64, status int, reason string) {
	c.emit(Response{RequestID: requestID, Status: status, Body: wire.ErrorBody{Error: reason}, RetryAfterS: 1})
}

// OmitDebugLines has the core make no log lines of level Debug, for a node that would drop them.
func (c *Core) OmitDebugLines() { c.omitDebug = true }

func (c *Core) log(level Level, message string, fields ...any) {
	if c.omitDebug && level == Debug {
		return
	}
	c.emit(Log{Level: level, Message: message, Fields: fields})
}
