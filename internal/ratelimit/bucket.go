// Package ratelimit is a token bucket for operations that may be made at a limited rate. It is pure: it keeps no clock,
// the caller hands in the time and the rate, either of which may differ from call to call.
package ratelimit

import "time"

// Bucket holds tokens that are added at a rate and spent by operations. The zero value is an empty bucket that was
// refilled last at time 0.
type Bucket struct {
	tokens     float64
	refilledAt time.Duration
}

// NewBucket returns a bucket that holds tokens at a time.
func NewBucket(tokens float64, now time.Duration) Bucket {
	return Bucket{tokens: tokens, refilledAt: now}
}

// Refill adds the tokens since the last refill, by a rate per second, and keeps at most burst of them.
func (b *Bucket) Refill(now time.Duration, rate, burst float64) {
	b.tokens = min(burst, b.tokens+rate*(now-b.refilledAt).Seconds())
	b.refilledAt = now
}

// Tokens returns the number of tokens as of the last refill.
func (b *Bucket) Tokens() float64 { return b.tokens }

// Spend takes tokens. The number left may become negative: the bucket is in debt until it is refilled.
func (b *Bucket) Spend(tokens float64) { b.tokens -= tokens }

// Return gives back tokens of an operation that did not take place.
func (b *Bucket) Return(tokens float64) { b.tokens += tokens }

// TryTake takes tokens if there are as many.
func (b *Bucket) TryTake(tokens float64) bool {
	if b.tokens < tokens {
		return false
	}
	b.tokens -= tokens
	return true
}

// WaitFor returns the time until there are as many tokens, by a rate per second.
func (b *Bucket) WaitFor(tokens, rate float64) time.Duration {
	return time.Duration((tokens - b.tokens) / rate * float64(time.Second))
}
