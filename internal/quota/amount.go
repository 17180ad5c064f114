// Package quota divides the limits and guarantees of teams over regions that may be partitioned from each other. It is the
// escrow transactional method (O'Neil, 1986) over the amounts of a limit: each region holds a share of each team's limit and
// guarantee in escrow, in its own store, and uses it without asking the others; shares move between regions by numbered
// transfers, which are debited in one region before they are credited in the other.
//
// The invariant is that what is held and what is in transfer never adds up to more than the whole, whatever messages are
// lost, duplicated or delayed and whichever controllers fail. So no two regions can together take a team past its limit.
//
// The package is pure: it gives the account that follows; the caller commits it before anybody acts on it.
package quota

import (
	"math"
	"math/bits"
)

// Amount is a number of GPUs and CPUs in thousandths, so that sums are exact.
type Amount struct {
	GPUs int64 `json:"g,omitempty"`
	CPUs int64 `json:"c,omitempty"`
}

const (
	// unit is the number of parts of a GPU or a CPU.
	unit = 1000
	// roundingError is the error, in parts, of an amount that was computed in floating point.
	roundingError = 1e-3
)

// RoundDown gives the amount not above the one given, for what may be used.
func RoundDown(gpus, cpus float64) Amount {
	parts := func(x float64) int64 { return int64(math.Floor(x*unit + roundingError)) }
	return Amount{parts(gpus), parts(cpus)}
}

// RoundUp gives the amount not below the one given, for what is used.
func RoundUp(gpus, cpus float64) Amount {
	parts := func(x float64) int64 { return int64(math.Ceil(x*unit - roundingError)) }
	return Amount{parts(gpus), parts(cpus)}
}

// Float gives the amount in GPUs and CPUs.
func (a Amount) Float() (gpus, cpus float64) { return float64(a.GPUs) / unit, float64(a.CPUs) / unit }

// Plus gives the sum.
func (a Amount) Plus(b Amount) Amount { return Amount{a.GPUs + b.GPUs, a.CPUs + b.CPUs} }

// Minus gives the difference, with 0 for what would be negative.
func (a Amount) Minus(b Amount) Amount { return Amount{max(0, a.GPUs-b.GPUs), max(0, a.CPUs-b.CPUs)} }

// Min gives the minimum of each resource.
func (a Amount) Min(b Amount) Amount { return Amount{min(a.GPUs, b.GPUs), min(a.CPUs, b.CPUs)} }

// Zero tells whether the amounts are all 0.
func (a Amount) Zero() bool { return a == Amount{} }

// scaled converts a part of one whole to the same fraction of another one, rounded down or up. An amount beyond its whole
// counts as all of it.
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

// Share is a share of a team's limit and of its guarantee.
type Share struct {
	Limit     Amount `json:"l,omitzero"`
	Guarantee Amount `json:"g,omitzero"`
}

// Plus gives the sum.
func (s Share) Plus(t Share) Share {
	return Share{s.Limit.Plus(t.Limit), s.Guarantee.Plus(t.Guarantee)}
}

// Minus gives the difference, with 0 for what would be negative.
func (s Share) Minus(t Share) Share {
	return Share{s.Limit.Minus(t.Limit), s.Guarantee.Minus(t.Guarantee)}
}

// Min gives the minimum of each resource.
func (s Share) Min(t Share) Share { return Share{s.Limit.Min(t.Limit), s.Guarantee.Min(t.Guarantee)} }

// Half gives half of each, rounded down.
func (s Share) Half() Share {
	return Share{Limit: Amount{s.Limit.GPUs / 2, s.Limit.CPUs / 2}, Guarantee: Amount{s.Guarantee.GPUs / 2, s.Guarantee.CPUs / 2}}
}

// Zero tells whether the amounts are all 0.
func (s Share) Zero() bool { return s.Limit.Zero() && s.Guarantee.Zero() }
