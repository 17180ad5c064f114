package quota

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Region is one of the regions that divide the limits, with the fraction of each that it begins with.
type Region struct {
	Name  string
	Share float64 // from 0 to 1; the regions' fractions add up to 1
}

// Transfer is a share that is moved from one region to another. The transfers from one region to another are numbered from
// 1, so that each is applied once and in order.
type Transfer struct {
	From   string `json:"f"`
	To     string `json:"t"`
	Number uint64 `json:"n"`
	Share  Share  `json:"s"`
}

// Account is a region's escrow account of one team, as it is stored.
type Account struct {
	// Whole is the team's limit and guarantee that was divided.
	Whole Share `json:"w"`
	Held  Share `json:"h"`
	// Outgoing are transfers that are debited here and not acknowledged by their receivers yet.
	Outgoing []Transfer `json:"o,omitempty"`
	// Sent and Received are the numbers of the last transfers to and from each region.
	Sent     map[string]uint64 `json:"x,omitempty"`
	Received map[string]uint64 `json:"r,omitempty"`
}

// Receipt is the result of receiving a transfer.
type Receipt int

// The receipts.
const (
	Accepted   Receipt = iota // it is credited, once the account is committed
	Duplicate                 // it was credited before
	OutOfOrder                // an earlier one is missing: the sender has to send that first
)

// ErrUnreadable says that this version does not understand a stored account.
var ErrUnreadable = errors.New("the account of a team's allowance can't be read")

// Decode reads a stored account.
func Decode(data []byte) (*Account, error) {
	a := &Account{}
	if err := json.Unmarshal(data, a); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	return a, nil
}

// Initial gives the account that a region begins with. The regions' shares add up to the whole exactly: each begins where
// the one before it ends.
func Initial(whole Share, regions []Region, name string) *Account {
	a := &Account{Whole: whole}
	below := 0.0
	for i, r := range regions {
		above := below + r.Share
		if i == len(regions)-1 {
			above = 1
		}
		if r.Name == name {
			a.Held = whole.firstPart(above).Minus(whole.firstPart(below))
		}
		below = above
	}
	return a
}

// Usable converts the share that is held to the limits as they are now. Accounts keep shares of the whole that was divided
// first. If the whole has changed since, a share is the same fraction of the new one, rounded down, so that the regions'
// shares do not add up to more. What had no limit when it was divided is divided by the initial shares.
func (a *Account) Usable(held, whole Share, initial Share) Share {
	usable := Share{Limit: held.Limit.scaled(a.Whole.Limit, whole.Limit, false),
		Guarantee: held.Guarantee.scaled(a.Whole.Guarantee, whole.Guarantee, false)}
	usable.Limit = usable.Limit.orWhereUnlimited(a.Whole.Limit, initial.Limit)
	usable.Guarantee = usable.Guarantee.orWhereUnlimited(a.Whole.Guarantee, initial.Guarantee)
	return usable
}

// orWhereUnlimited replaces the amounts of resources for which a whole has no limit.
func (a Amount) orWhereUnlimited(whole, others Amount) Amount {
	if whole.GPUs == 0 {
		a.GPUs = others.GPUs
	}
	if whole.CPUs == 0 {
		a.CPUs = others.CPUs
	}
	return a
}

// ToAccountUnits converts a share of the whole as it is now to one of the whole that was divided, rounded up: it is for what
// is needed.
func (a *Account) ToAccountUnits(s, whole Share) Share {
	return Share{
		Limit:     s.Limit.scaled(whole.Limit, a.Whole.Limit, true),
		Guarantee: s.Guarantee.scaled(whole.Guarantee, a.Whole.Guarantee, true),
	}
}

// firstPart gives the first part of a share, which is a fraction of it, rounded down.
func (s Share) firstPart(fraction float64) Share {
	part := func(x int64) int64 { return int64(float64(x)*fraction + roundingError) }
	return Share{Limit: Amount{part(s.Limit.GPUs), part(s.Limit.CPUs)}, Guarantee: Amount{part(s.Guarantee.GPUs), part(s.Guarantee.CPUs)}}
}

// copied gives a deep copy.
func (a *Account) copied() *Account {
	b := *a
	b.Outgoing, b.Sent, b.Received = slices.Clone(a.Outgoing), maps.Clone(a.Sent), maps.Clone(a.Received)
	return &b
}

// Grant gives the account after a transfer to another region of what that requests, as far as it is not needed here; nil if
// there is nothing to transfer. There is one transfer to a region at a time.
func (a *Account) Grant(from, to string, requested, needed Share) *Account {
	if slices.ContainsFunc(a.Outgoing, func(t Transfer) bool { return t.To == to }) {
		return nil
	}
	share := requested.Min(a.Held.Minus(needed))
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

// Receive gives the account after a transfer was received, and the result; the same account if nothing changes.
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

// Acknowledge gives the account after a region has acknowledged a transfer; the same account if that was known.
func (a *Account) Acknowledge(to string, number uint64) *Account {
	acknowledged := func(t Transfer) bool { return t.To == to && t.Number <= number }
	if !slices.ContainsFunc(a.Outgoing, acknowledged) {
		return a
	}
	b := a.copied()
	b.Outgoing = slices.DeleteFunc(b.Outgoing, acknowledged)
	return b
}

// Shortfall gives what a region has to request: what its work needs beyond what it holds, and no more than the whole.
func (a *Account) Shortfall(needed Share) Share { return needed.Min(a.Whole).Minus(a.Held) }
