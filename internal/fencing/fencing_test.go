package fencing

import (
	"testing"
	"time"
)

func TestTokensOfTermsDoNotOverlap(t *testing.T) {
	f := NewFence(4)
	f.RaiseAbove(f.Token())
	f.RaiseAbove(f.Token() - 1) // already invalid
	if f.Token() != FirstToken(4)+1 || TermOf(f.Token()) != 4 {
		t.Errorf("token %d of term %d, want the second of term 4", f.Token(), TermOf(f.Token()))
	}
	if f.Token() >= FirstToken(5) {
		t.Error("a token of term 4 is not below those of term 5")
	}
}

func TestTokenNeverDecreases(t *testing.T) {
	f := NewFence(4)
	f.Observe(FirstToken(4) + 9)
	f.Observe(FirstToken(3))
	f.Require(FirstToken(4)+2, 0)
	if f.Token() != FirstToken(4)+9 {
		t.Errorf("token %d, want the highest observed token", f.Token())
	}
}

func TestDirectStartsUseHalfOfTheRange(t *testing.T) {
	f := NewFence(4)
	f.Observe(FirstToken(4) + tokensPerTerm/2 - 1)
	if !f.MayStartDirectly() {
		t.Error("direct starts are refused although half of the range is left")
	}
	f.RaiseAbove(f.Token())
	if f.MayStartDirectly() {
		t.Error("direct starts are allowed although less than half of the range is left")
	}
}

func TestRequiredTokenMustBeReported(t *testing.T) {
	f := NewFence(4)
	if f.Confirm(FirstToken(4)) || f.Required() {
		t.Error("a requirement is pending although none was set")
	}
	f.Require(FirstToken(4)+2, time.Second)
	f.Require(FirstToken(4)+1, 2*time.Second) // lower than the token that is already required
	if f.Token() != FirstToken(4)+2 || f.RequiredSince() != time.Second {
		t.Errorf("token %d required since %v, want token 4000002 since 1s", f.Token(), f.RequiredSince())
	}
	if f.Confirm(FirstToken(4)+1) || !f.Required() {
		t.Error("a lower token met the requirement")
	}
	f.RestartRequirement(3 * time.Second)
	if f.RequiredSince() != 3*time.Second {
		t.Errorf("required since %v, want 3s, when the requirement was restarted", f.RequiredSince())
	}
	if !f.Confirm(FirstToken(4)+2) || f.Required() {
		t.Error("the required token did not meet the requirement")
	}
}
