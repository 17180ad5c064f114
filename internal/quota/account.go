package quota

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Region is one of the regions that share the limits, with the part of each that it begins with.
type Region struct {
	Name  string
	Share float64 // from 0 to 1; those of all regions add up to 1
}

// Transfer is a share on its way from one region to another. The transfers between two regions are numbered from 1.
type Transfer struct {
	From   string `json:"f"`
	To     string `json:"t"`
	Number uint64 `json:"n"`
	Share  Share  `json:"s"`
}

// Account is what a region holds of one team, as it is stored.
type Account struct {
	// Whole is the team's limit and guarantee that was divided.
	Whole Share `json:"w"`
	Held  Share `json:"h"`
	// Outgoing are transfers that were taken from what is held, and that their receivers are not known to have.
	Outgoing []Transfer `json:"o,omitempty"`
	// Sent and Received have the number of the last transfer to and from each region.
	Sent     map[string]uint64 `json:"x,omitempty"`
	Received map[string]uint64 `json:"r,omitempty"`
}

// Receipt is what becomes of a transfer that comes in.
type Receipt int

// The receipts.
const (
	Accepted   Receipt = iota // it is added, once the account is committed
	Duplicate                 // it was added before
	OutOfOrder                // one before it has not come: the sender has to send that first
)

// ErrUnreadable says that a stored account is not one that this version understands.
var ErrUnreadable = errors.New("the account of a team's allowance can't be read")

// Decode reads a stored account.
func Decode(data []byte) (*Account, error) {
	a := &Account{}
	if err := json.Unmarshal(data, a); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	return a, nil
}

// Initial gives the account that a region begins with. The parts of all regions add up to the whole, to the last
// thousandth: each begins where the one before it ends.
func Initial(whole Share, regions []Region, name string) *Account {
	a := &Account{Whole: whole}
	below := 0.0
	for i, r := range regions {
		above := below + r.Share
		if i == len(regions)-1 {
			above = 1
		}
		if r.Name == name {
			a.Held = whole.upTo(above).Minus(whole.upTo(below))
		}
		below = above
	}
	return a
}

// Usable gives what of a whole may be used by an account of it. Accounts keep parts of the whole that was divided first; where
// the whole is another one by now, the parts are parts of that: rounded down, so that those of all regions are not above it.
// What had no limit when it was divided is divided by the parts that regions began with.
func (a *Account) Usable(held, whole Share, initial Share) Share {
	usable := Share{Limit: held.Limit.scaled(a.Whole.Limit, whole.Limit, false),
		Guarantee: held.Guarantee.scaled(a.Whole.Guarantee, whole.Guarantee, false)}
	usable.Limit = usable.Limit.where(a.Whole.Limit, initial.Limit)
	usable.Guarantee = usable.Guarantee.where(a.Whole.Guarantee, initial.Guarantee)
	return usable
}

// where gives the amounts, but others where a whole has nothing.
func (a Amount) where(whole, others Amount) Amount {
	if whole.GPUs == 0 {
		a.GPUs = others.GPUs
	}
	if whole.CPUs == 0 {
		a.CPUs = others.CPUs
	}
	return a
}

// ToAccountUnits gives a share of a whole as accounts keep it, rounded up: for what is needed.
func (a *Account) ToAccountUnits(s, whole Share) Share {
	return Share{Limit: s.Limit.scaled(whole.Limit, a.Whole.Limit, true), Guarantee: s.Guarantee.scaled(whole.Guarantee, a.Whole.Guarantee, true)}
}

// upTo gives a fraction of a share, rounded down.
func (s Share) upTo(fraction float64) Share {
	part := func(x int64) int64 { return int64(float64(x)*fraction + roundingError) }
	return Share{Limit: Amount{part(s.Limit.GPUs), part(s.Limit.CPUs)}, Guarantee: Amount{part(s.Guarantee.GPUs), part(s.Guarantee.CPUs)}}
}

// copied gives a copy that can be changed.
func (a *Account) copied() *Account {
	b := *a
	b.Outgoing, b.Sent, b.Received = slices.Clone(a.Outgoing), maps.Clone(a.Sent), maps.Clone(a.Received)
	return &b
}

// Grant gives the account after what another region asks for was handed to it, as far as it is held beyond what is needed
// here; nil if there is nothing to give. One transfer to a region is on its way at a time.
func (a *Account) Grant(from, to string, asked, needed Share) *Account {
	if slices.ContainsFunc(a.Outgoing, func(t Transfer) bool { return t.To == to }) {
		return nil
	}
	share := asked.Min(a.Held.Minus(needed))
	if share.Zero() {
		return nil
	}
	b := a.copied()
	if b.Sent == nil {
		b.Sent = map[string]uint64{}
	}
	b.Sent[to]++
	b.Held = b.Held.Minus(share)
	b.Outgoing = append(b.Outgoing, Transfer{From: from, To: to, Number: b.Sent[to], Share: share})
	return b
}

// Receive gives the account after a transfer has come in, and what becomes of it; the same account if nothing changes.
func (a *Account) Receive(t Transfer) (*Account, Receipt) {
	switch last := a.Received[t.From]; {
	case t.Number <= last:
		return a, Duplicate
	case t.Number > last+1:
		return a, OutOfOrder
	}
	b := a.copied()
	if b.Received == nil {
		b.Received = map[string]uint64{}
	}
	b.Received[t.From] = t.Number
	b.Held = b.Held.Plus(t.Share)
	return b, Accepted
}

// Acknowledge gives the account after a region is known to have a transfer; the same account if it was settled before.
func (a *Account) Acknowledge(to string, number uint64) *Account {
	has := func(t Transfer) bool { return t.To == to && t.Number <= number }
	if !slices.ContainsFunc(a.Outgoing, has) {
		return a
	}
	b := a.copied()
	b.Outgoing = slices.DeleteFunc(b.Outgoing, has)
	return b
}

// Shortfall gives what a region should ask for: what its work needs beyond what it holds, and no more than the whole.
func (a *Account) Shortfall(needed Share) Share { return needed.Min(a.Whole).Minus(a.Held) }
