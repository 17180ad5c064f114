// Package fencing makes the fencing tokens by which workers tell the messages of leaders apart.
//
// A fencing token is a number that grows with each grant of a lock or lease and goes with every request to a resource, which
// refuses requests with a token lower than the highest that it has seen (Kleppmann, "How to do distributed locking", 2016).
// Without it a leader that was paused, or a message that was delayed, could act after its term. Here the resource is a
// worker: it keeps the highest token that it was shown, repeats it in its heartbeats, and drops what carries a lower one.
//
// Each term has a range of tokens, so that every token of a term is higher than all of the terms before. Within its term a
// leader raises the token of a single worker to exclude a message of its own: a direct start may come late, or be repeated
// by the network, for as long as its token is the worker's. Once the worker has shown a higher token it can no longer take
// effect.
//
// The package is pure: it knows terms, tokens and times, and neither machines nor messages.
package fencing

import "time"

// tokensPerTerm is the size of a term's range of tokens.
const tokensPerTerm = 1_000_000

// FirstToken gives the first token of a term.
func FirstToken(term uint64) uint64 { return term * tokensPerTerm }

// TermOf gives the term to which a token belongs.
func TermOf(token uint64) uint64 { return token / tokensPerTerm }

// Fence is the fencing of one worker by the leader of a term.
type Fence struct {
	token uint64
	// required is the token that the worker has to show before it gets work; 0: none.
	required      uint64
	requiredSince time.Duration
}

// NewFence makes the fence of a worker to which the leader of a term has sent nothing yet.
func NewFence(term uint64) Fence { return Fence{token: FirstToken(term)} }

// Token is the token that goes with messages to the worker.
func (f *Fence) Token() uint64 { return f.token }

// Observe takes in a token that the worker has shown, or is to be shown: no lower one is used any more.
func (f *Fence) Observe(token uint64) { f.token = max(f.token, token) }

// RaiseAbove excludes messages with a token that was used for the worker.
func (f *Fence) RaiseAbove(used uint64) { f.Observe(used + 1) }

// MayStartDirectly reports whether the term's range has tokens left to exclude direct starts: each may take one.
func (f *Fence) MayStartDirectly() bool { return f.token%tokensPerTerm < tokensPerTerm/2 }

// Require makes the worker show a token before it gets work. Responses and commands may not reach it although its heartbeats
// arrive; one that they reach shows the token with its next heartbeat.
func (f *Fence) Require(token uint64, now time.Duration) {
	f.Observe(token)
	if f.required == 0 {
		f.requiredSince = now
	}
	f.required = max(f.required, token)
}

// Required reports whether the worker has yet to show a token.
func (f *Fence) Required() bool { return f.required != 0 }

// RequiredSince is since when the worker sends heartbeats and has not shown the token.
func (f *Fence) RequiredSince() time.Duration { return f.requiredSince }

// RestartRequirement gives a worker that was silent the time to show the token anew.
func (f *Fence) RestartRequirement(now time.Duration) { f.requiredSince = now }

// Shown takes in the token of a heartbeat and reports whether it has just met the requirement.
func (f *Fence) Shown(token uint64) bool {
	if f.required == 0 || token < f.required {
		return false
	}
	f.required = 0
	return true
}
