// Package fencing generates the fencing tokens by which workers recognize outdated messages of leaders.
//
// A fencing token is a number that increases with each grant of a lock or lease and accompanies every request to a
// resource, which rejects requests with a token lower than the highest one it has seen (Kleppmann, "How to do
// distributed locking", 2016). Without it, a leader that was paused, or a message that was delayed, could take effect
// after the end of the term. Here the resource is a worker. It keeps the highest token it has received, repeats it in
// its heartbeats, and drops messages with a lower one.
//
// Each term has its own range of tokens, so every token of a term is higher than all tokens of earlier terms. Within
// its term a leader raises the token of a single worker to invalidate one of its own messages. The network may delay or
// repeat a direct start, which takes effect for as long as its token is the worker's highest. Once the worker has
// reported a higher token, the start can no longer take effect.
//
// The package is pure: it handles terms, tokens and times, and has no notion of machines or messages.
package fencing

import "time"

// tokensPerTerm is the number of tokens in the range of a term.
const tokensPerTerm = 1_000_000

// FirstToken returns the first token of a term.
func FirstToken(term uint64) uint64 { return term * tokensPerTerm }

// TermOf returns the term to which a token belongs.
func TermOf(token uint64) uint64 { return token / tokensPerTerm }

// Fence is the fencing state of one worker, as kept by the leader of a term.
type Fence struct {
	token uint64
	// required is the token that the worker must report before work is sent to it; 0 if none.
	required      uint64
	requiredSince time.Duration
}

// NewFence returns the fence of a worker to which the leader of the term has not sent any message.
func NewFence(term uint64) Fence { return Fence{token: FirstToken(term)} }

// Token returns the token for messages to the worker.
func (f *Fence) Token() uint64 { return f.token }

// Observe raises the token to one that the worker has reported or will be sent. No lower token is used from then on.
func (f *Fence) Observe(token uint64) { f.token = max(f.token, token) }

// RaiseAbove raises the token above one that was used for the worker, so that the messages with that token become
// invalid.
func (f *Fence) RaiseAbove(used uint64) { f.Observe(used + 1) }

// MayStartDirectly reports whether enough tokens of the term's range are left for direct starts. Invalidating a direct
// start uses up one token.
func (f *Fence) MayStartDirectly() bool { return f.token%tokensPerTerm < tokensPerTerm/2 }

// Require withholds work from the worker until it has reported the token. Heartbeats of a worker may arrive although
// responses and commands do not reach it. A worker that receives them reports the token in its next heartbeat.
func (f *Fence) Require(token uint64, now time.Duration) {
	f.Observe(token)
	if f.required == 0 {
		f.requiredSince = now
	}
	f.required = max(f.required, token)
}

// Required reports whether the worker has yet to report a required token.
func (f *Fence) Required() bool { return f.required != 0 }

// RequiredSince returns the time since which the worker has sent heartbeats without the required token.
func (f *Fence) RequiredSince() time.Duration { return f.requiredSince }

// RestartRequirement resets RequiredSince for a worker whose heartbeats had stopped, so that it again has the full time
// to report the token.
func (f *Fence) RestartRequirement(now time.Duration) { f.requiredSince = now }

// Confirm processes the token of a heartbeat and reports whether it has just met the requirement.
func (f *Fence) Confirm(token uint64) bool {
	if f.required == 0 || token < f.required {
		return false
	}
	f.required = 0
	return true
}
