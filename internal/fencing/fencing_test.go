package fencing

import (
	"testing"
	"time"
)

func TestTokensOfTermsDoNotOverlap(t *testing.T) {
	f := NewFence(4)
	f.RaiseAbove(f.Token())
	f.RaiseAbove(f.Token() - 1) // excluded already
	if f.Token() != FirstToken(4)+1 || TermOf(f.Token()) != 4 {
		t.Errorf("token %d of term %d, want the second of term 4", f.Token(), TermOf(f.Token()))
	}
	if f.Token() >= FirstToken(5) {
		t.Error("a token of term 4 is not below those of term 5")
	}
}

func TestFenceNeverFalls(t *testing.T) {
	f := NewFence(4)
	f.Observe(FirstToken(4) + 9)
	f.Observe(FirstToken(3))
	f.Require(FirstToken(4)+2, 0)
	if f.Token() != FirstToken(4)+9 {
		t.Errorf("token %d, want the highest that was observed", f.Token())
	}
}

func TestDirectStartsEndInTheMiddleOfTheRange(t *testing.T) {
	f := NewFence(4)
	f.Observe(FirstToken(4) + tokensPerTerm/2 - 1)
	if !f.MayStartDirectly() {
		t.Error("half of the range is left")
	}
	f.RaiseAbove(f.Token())
	if f.MayStartDirectly() {
		t.Error("less than half of the range is left")
	}
}

func TestRequiredTokenHasToBeShown(t *testing.T) {
	f := NewFence(4)
	if f.Shown(FirstToken(4)) || f.Required() {
		t.Error("nothing is required")
	}
	f.Require(FirstToken(4)+2, time.Second)
	f.Require(FirstToken(4)+1, 2*time.Second) // less than is required already
	if f.Token() != FirstToken(4)+2 || f.RequiredSince() != time.Second {
		t.Errorf("token %d is required since %v", f.Token(), f.RequiredSince())
	}
	if f.Shown(FirstToken(4)+1) || !f.Required() {
		t.Error("a lower token does not meet the requirement")
	}
	f.RestartRequirement(3 * time.Second)
	if f.RequiredSince() != 3*time.Second {
		t.Errorf("required since %v, want since it was silent", f.RequiredSince())
	}
	if !f.Shown(FirstToken(4)+2) || f.Required() {
		t.Error("the token itself meets the requirement")
	}
}
