package ratelimit

import (
	"testing"
	"time"
)

func TestBucketRefillsAtItsRateUpToTheBurst(t *testing.T) {
	b := NewBucket(1, 10*time.Second)
	if !b.TryTake(1) || b.TryTake(1) {
		t.Fatalf("one token was there, %g are left", b.Tokens())
	}
	if wait := b.WaitFor(1, 2); wait != 500*time.Millisecond {
		t.Errorf("a token at 2/s takes %v", wait)
	}
	b.Refill(10*time.Second+250*time.Millisecond, 2, 4)
	if b.Tokens() != 0.5 {
		t.Errorf("%g tokens after a quarter of a second at 2/s", b.Tokens())
	}
	b.Refill(time.Minute, 2, 4)
	if b.Tokens() != 4 {
		t.Errorf("%g tokens, beyond the burst of 4", b.Tokens())
	}
}

func TestBucketInDebt(t *testing.T) {
	b := NewBucket(1, 0)
	b.Spend(3)
	if b.TryTake(0.1) || b.WaitFor(1, 1) != 3*time.Second {
		t.Errorf("in debt by 2: %g tokens, wait of %v", b.Tokens(), b.WaitFor(1, 1))
	}
	b.Return(2.5)
	if !b.TryTake(0.5) || b.Tokens() != 0 {
		t.Errorf("%g tokens", b.Tokens())
	}
}
