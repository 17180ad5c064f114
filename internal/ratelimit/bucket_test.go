package ratelimit

import (
	"testing"
	"time"
)

func TestBucketRefillsAtItsRateUpToTheBurst(t *testing.T) {
	b := NewBucket(1, 10*time.Second)
	if !b.TryTake(1) || b.TryTake(1) {
		t.Fatalf("one token was added, %g are left after taking one", b.Tokens())
	}
	if wait := b.WaitFor(1, 2); wait != 500*time.Millisecond {
		t.Errorf("wait for a token at 2/s is %v, want 500ms", wait)
	}
	b.Refill(10*time.Second+250*time.Millisecond, 2, 4)
	if b.Tokens() != 0.5 {
		t.Errorf("%g tokens after 250 ms at 2/s, want 0.5", b.Tokens())
	}
	b.Refill(time.Minute, 2, 4)
	if b.Tokens() != 4 {
		t.Errorf("%g tokens, want the burst of 4", b.Tokens())
	}
}

func TestBucketInDebt(t *testing.T) {
	b := NewBucket(1, 0)
	b.Spend(3)
	if b.TryTake(0.1) || b.WaitFor(1, 1) != 3*time.Second {
		t.Errorf("%g tokens and a wait of %v with a balance of -2, want 3s and no tokens to take", b.Tokens(), b.WaitFor(1, 1))
	}
	b.Refund(2.5)
	if !b.TryTake(0.5) || b.Tokens() != 0 {
		t.Errorf("%g tokens after the refund, want 0", b.Tokens())
	}
}
