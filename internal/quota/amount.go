// Package quota divides the limits and guarantees of teams among regions that may be partitioned from each other. It
// uses the escrow transactional method (O'Neil, 1986): each region holds a share of each team's limit and guarantee in
// escrow, in its own store, and uses it without asking the other regions. Shares move between regions by numbered
// transfers, which are debited in one region before they are credited in the other.
//
// The invariant is that the shares that are held and those in transfer never add up to more than the total, whichever
// messages are lost, duplicated or delayed and whichever controllers fail. So the regions together can't exceed a
// team's limit.
//
// The package does no I/O: its methods return the next account, and the caller commits it before relying on it.
package quota

import (
	"math"
	"math/bits"
)

// Amount is an amount of GPUs and CPUs, in thousandths so that sums are exact.
type Amount struct {
	GPUs int64 `json:"g,omitempty"`
	CPUs int64 `json:"c,omitempty"`
}

const (
	// partsPerUnit is the number of parts of a GPU or a CPU.
	partsPerUnit = 1000
	// roundingError is the largest error, in parts, of an amount that was computed in floating point.
	roundingError = 1e-3
)

// RoundDown rounds down to thousandths, but for roundingError. It is applied to what may be used.
func RoundDown(gpus, cpus float64) Amount {
	parts := func(x float64) int64 { return int64(math.Floor(x*partsPerUnit + roundingError)) }
	return Amount{parts(gpus), parts(cpus)}
}

// RoundUp rounds up to thousandths, but for roundingError. It is applied to what is in use or needed.
func RoundUp(gpus, cpus float64) Amount {
	parts := func(x float64) int64 { return int64(math.Ceil(x*partsPerUnit - roundingError)) }
	return Amount{parts(gpus), parts(cpus)}
}

// Float returns the amount as numbers of GPUs and CPUs.
func (a Amount) Float() (gpus, cpus float64) {
	return float64(a.GPUs) / partsPerUnit, float64(a.CPUs) / partsPerUnit
}

// Plus returns the sum of two amounts.
func (a Amount) Plus(b Amount) Amount { return Amount{a.GPUs + b.GPUs, a.CPUs + b.CPUs} }

// Minus returns the difference of two amounts, with 0 where it would be negative.
func (a Amount) Minus(b Amount) Amount { return Amount{max(0, a.GPUs-b.GPUs), max(0, a.CPUs-b.CPUs)} }

// Min returns the smaller of two amounts for each resource.
func (a Amount) Min(b Amount) Amount { return Amount{min(a.GPUs, b.GPUs), min(a.CPUs, b.CPUs)} }

// IsZero reports whether the amount of each resource is 0.
func (a Amount) IsZero() bool { return a == Amount{} }

// scaled converts an amount that is a part of from to the same fraction of to, rounded down or up. An amount larger
// than from counts as all of it. Where from is 0, the amount is not converted.
func (a Amount) scaled(from, to Amount, up bool) Amount {
	convert := func(x, from, to int64) int64 {
		if from == 0 || from == to {
			return x
		}
		high, low := bits.Mul64(uint64(min(x, from)), uint64(to))
		quotient, remainder := bits.Div64(high, low, uint64(from))
		if up && remainder > 0 {
			quotient++
		}
		return int64(quotient)
	}
	return Amount{convert(a.GPUs, from.GPUs, to.GPUs), convert(a.CPUs, from.CPUs, to.CPUs)}
}

// Share is a share of a team's limit and of its guarantee.
type Share struct {
	Limit     Amount `json:"l,omitzero"`
	Guarantee Amount `json:"g,omitzero"`
}

// Plus returns the sum of two shares.
func (s Share) Plus(t Share) Share {
	return Share{s.Limit.Plus(t.Limit), s.Guarantee.Plus(t.Guarantee)}
}

// Minus returns the difference of two shares, with 0 where it would be negative.
func (s Share) Minus(t Share) Share {
	return Share{s.Limit.Minus(t.Limit), s.Guarantee.Minus(t.Guarantee)}
}

// Min returns the smaller of two shares for each amount.
func (s Share) Min(t Share) Share { return Share{s.Limit.Min(t.Limit), s.Guarantee.Min(t.Guarantee)} }

// Half returns half of each amount, rounded down.
func (s Share) Half() Share {
	return Share{Limit: Amount{s.Limit.GPUs / 2, s.Limit.CPUs / 2}, Guarantee: Amount{s.Guarantee.GPUs / 2, s.Guarantee.CPUs / 2}}
}

// IsZero reports whether all amounts are 0.
func (s Share) IsZero() bool { return s.Limit.IsZero() && s.Guarantee.IsZero() }
