package record

import (
	"math/bits"
	"strconv"
	"strings"
)

const wordBits = 64

// Bits is a set of small non-negative integers.
type Bits []uint64

// NewBits returns an empty set for numbers from 0 to bound-1.
func NewBits(bound int) Bits { return make(Bits, (bound+wordBits-1)/wordBits) }

// Has reports whether i is in the set.
func (b Bits) Has(i int) bool { return i/wordBits < len(b) && b[i/wordBits]&(1<<(i%wordBits)) != 0 }

// Add adds i to the set.
func (b Bits) Add(i int) { b[i/wordBits] |= 1 << (i % wordBits) }

// Count returns the size of the set.
func (b Bits) Count() int {
	n := 0
	for _, w := range b {
		n += bits.OnesCount64(w)
	}
	return n
}

// String returns the set as ranges, for example "0-4,7".
func (b Bits) String() string {
	var text strings.Builder
	for i := 0; i < len(b)*wordBits; i++ {
		if !b.Has(i) {
			continue
		}
		first := i
		for b.Has(i + 1) {
			i++
		}
		if text.Len() > 0 {
			text.WriteByte(',')
		}
		text.WriteString(strconv.Itoa(first))
		if i > first {
			text.WriteByte('-')
			text.WriteString(strconv.Itoa(i))
		}
	}
	return text.String()
}

// addRanges adds the numbers of ranges in the format of String. It ignores malformed ranges and numbers beyond the
// bound.
func (b Bits) addRanges(ranges string) {
	if ranges == "" {
		return
	}
	for _, part := range strings.Split(ranges, ",") {
		low, high, found := strings.Cut(part, "-")
		if !found {
			high = low
		}
		first, err1 := strconv.Atoi(low)
		last, err2 := strconv.Atoi(high)
		if err1 != nil || err2 != nil {
			continue
		}
		for i := max(0, first); i <= last && i < len(b)*wordBits; i++ {
			b.Add(i)
		}
	}
}
