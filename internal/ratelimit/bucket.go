// Package ratelimit implements a token bucket that limits the rate of operations. It is pure: it reads no clock. The
// caller passes in the time and the rate, which may differ from call to call.
package ratelimit

import "time"

// Bucket holds tokens that are added at a rate and spent by operations. The zero value is an empty bucket that was last
// refilled at time 0.
type Bucket struct {
	tokens     float64
	refilledAt time.Duration
}

// NewBucket returns a bucket that holds the given number of tokens at the given time.
func NewBucket(tokens float64, now time.Duration) Bucket {
	return Bucket{tokens: tokens, refilledAt: now}
}

// Refill adds the tokens for the time since the last refill, at a rate per second, up to a total of burst.
func (b *Bucket) Refill(now time.Duration, rate, burst float64) {
	b.tokens = min(burst, b.tokens+rate*(now-b.refilledAt).Seconds())
	b.refilledAt = now
}

// Tokens returns the number of tokens as of the last refill.
func (b *Bucket) Tokens() float64 { return b.tokens }

// Spend removes tokens. The balance may become negative until the bucket is refilled.
func (b *Bucket) Spend(tokens float64) { b.tokens -= tokens }

// Refund returns the tokens of an operation that did not take place.
func (b *Bucket) Refund(tokens float64) { b.tokens += tokens }

// TryTake removes tokens if the bucket holds enough of them, and reports whether it did.
func (b *Bucket) TryTake(tokens float64) bool {
	if b.tokens < tokens {
		return false
	}
	b.tokens -= tokens
	return true
}

// WaitFor returns the time until the bucket holds the given number of tokens, at a rate per second.
func (b *Bucket) WaitFor(tokens, rate float64) time.Duration {
	return time.Duration((tokens - b.tokens) / rate * float64(time.Second))
}
