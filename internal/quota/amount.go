// Package quota divides the limits and guarantees of teams among regions that may lose each other. Each region holds
// a share of both for each team, in its own state service, and hands parts of it to other regions by numbered transfers.
// What is held and what is on its way never adds up to more than the whole, whatever messages are lost, repeated or late
// and whichever controllers fail, so no two regions can together take a team past its limit. The package is pure: it
// says what an account becomes; the caller commits that before anybody acts by it.
package quota

import (
	"math"
	"math/bits"
)

// Amount is a number of GPUs and CPUs, in thousandths: sums of it are exact.
type Amount struct {
	GPUs int64 `json:"g,omitempty"`
	CPUs int64 `json:"c,omitempty"`
}

const (
	// unit is how many parts a GPU or a CPU has.
	unit = 1000
	// roundingError is what an amount that was worked out in floating point may differ from what is meant, in parts.
	roundingError = 1e-3
)

// RoundDown gives an amount that is not above the one given, for what may be used.
func RoundDown(gpus, cpus float64) Amount {
	parts := func(x float64) int64 { return int64(math.Floor(x*unit + roundingError)) }
	return Amount{parts(gpus), parts(cpus)}
}

// RoundUp gives an amount that is not below the one given, for what is used.
func RoundUp(gpus, cpus float64) Amount {
	parts := func(x float64) int64 { return int64(math.Ceil(x*unit - roundingError)) }
	return Amount{parts(gpus), parts(cpus)}
}

// Float gives the amount in GPUs and CPUs.
func (a Amount) Float() (gpus, cpus float64) { return float64(a.GPUs) / unit, float64(a.CPUs) / unit }

// Plus gives a sum.
func (a Amount) Plus(b Amount) Amount { return Amount{a.GPUs + b.GPUs, a.CPUs + b.CPUs} }

// Minus gives a difference, where nothing is below 0.
func (a Amount) Minus(b Amount) Amount { return Amount{max(0, a.GPUs-b.GPUs), max(0, a.CPUs-b.CPUs)} }

// Min gives the lesser of each.
func (a Amount) Min(b Amount) Amount { return Amount{min(a.GPUs, b.GPUs), min(a.CPUs, b.CPUs)} }

// Zero tells whether there is nothing.
func (a Amount) Zero() bool { return a == Amount{} }

// scaled gives an amount that is to another whole what this one is to its own, rounded down, or up. What is beyond its own is
// cut off.
func (a Amount) scaled(from, to Amount, up bool) Amount {
	part := func(x, from, to int64) int64 {
		if from == 0 || from == to {
			return x
		}
		high, low := bits.Mul64(uint64(min(x, from)), uint64(to))
		whole, rest := bits.Div64(high, low, uint64(from))
		if up && rest > 0 {
			whole++
		}
		return int64(whole)
	}
	return Amount{part(a.GPUs, from.GPUs, to.GPUs), part(a.CPUs, from.CPUs, to.CPUs)}
}

// Share is a part of a team's limit and of its guarantee.
type Share struct {
	Limit     Amount `json:"l,omitzero"`
	Guarantee Amount `json:"g,omitzero"`
}

// Plus gives a sum.
func (s Share) Plus(t Share) Share {
	return Share{s.Limit.Plus(t.Limit), s.Guarantee.Plus(t.Guarantee)}
}

// Minus gives a difference, where nothing is below 0.
func (s Share) Minus(t Share) Share {
	return Share{s.Limit.Minus(t.Limit), s.Guarantee.Minus(t.Guarantee)}
}

// Min gives the lesser of each.
func (s Share) Min(t Share) Share { return Share{s.Limit.Min(t.Limit), s.Guarantee.Min(t.Guarantee)} }

// Half gives half of each, rounded down.
func (s Share) Half() Share {
	return Share{Limit: Amount{s.Limit.GPUs / 2, s.Limit.CPUs / 2}, Guarantee: Amount{s.Guarantee.GPUs / 2, s.Guarantee.CPUs / 2}}
}

// Zero tells whether there is nothing.
func (s Share) Zero() bool { return s.Limit.Zero() && s.Guarantee.Zero() }
