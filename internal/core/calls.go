package core

import (
	"bitternwing/internal/wire"
)

// resultHandler handles the result of a call.
type resultHandler func(Result)

// registerCall registers the handler of a call's result and returns the call's ID.
func (c *Core) registerCall(handle resultHandler) uint64 {
	c.lastCallID++
	c.pendingCalls[c.lastCallID] = handle
	return c.lastCallID
}

// registerStoreCall is registerCall for a call to the key-value store, whose outcome also updates storeHealth.
func (c *Core) registerStoreCall(handle resultHandler) uint64 {
	return c.registerCall(func(r Result) {
		c.storeHealth.observe(r.Outcome)
		handle(r)
	})
}

// handleResult passes a result to the handler of its call. A repeated result for the same call is ignored.
func (c *Core) handleResult(r Result) {
	handle := c.pendingCalls[r.CallID]
	if handle == nil {
		return
	}
	delete(c.pendingCalls, r.CallID)
	handle(r)
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

// respond sends the response to a request.
func (c *Core) respond(requestID uint64, status int, body any) {
	c.emit(Response{RequestID: requestID, Status: status, Body: body})
}

// respondRetryLater sends an error response with a Retry-After header. It is used when nothing can be confirmed at
// present, and is sent immediately instead of making the user wait.
func (c *Core) respondRetryLater(requestID uint64, status int, reason string) {
	c.emit(Response{RequestID: requestID, Status: status, Body: wire.ErrorBody{Error: reason}, RetryAfterS: 1})
}

// OmitDebugLines suppresses log lines of level Debug. A node that would discard them calls it to save their cost.
func (c *Core) OmitDebugLines() { c.omitDebug = true }

func (c *Core) log(level Level, message string, fields ...any) {
	if c.omitDebug && level == Debug {
		return
	}
	c.emit(Log{Level: level, Message: message, Fields: fields})
}
