package quota

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Region is one of the regions that divide the limits. Share is the fraction of each limit with which it begins.
type Region struct {
	Name  string
	Share float64 // from 0 to 1; the regions' fractions add up to 1
}

// Transfer is a share that moves from one region to another. The transfers between a sender and a receiver are numbered
// from 1, so that each is applied exactly once and in order.
type Transfer struct {
	From   string `json:"f"`
	To     string `json:"t"`
	Number uint64 `json:"n"`
	Share  Share  `json:"s"`
}

// Account is a region's escrow account of one team, in the form in which it is stored.
type Account struct {
	// Total is the team's limit and guarantee for all regions together, at the time when it was divided.
	Total Share `json:"w"`
	// Held is the region's own part of Total.
	Held Share `json:"h"`
	// Outgoing holds the transfers that are debited here and not yet acknowledged by their receivers.
	Outgoing []Transfer `json:"o,omitempty"`
	// Sent and Received hold the numbers of the last transfers to and from each region.
	Sent     map[string]uint64 `json:"x,omitempty"`
	Received map[string]uint64 `json:"r,omitempty"`
}

// Receipt is the result of receiving a transfer.
type Receipt int

// The results of receiving a transfer.
const (
	Accepted   Receipt = iota // credited in the returned account, which has to be committed
	Duplicate                 // credited before
	OutOfOrder                // not credited: the sender has to send an earlier transfer first
)

// ErrUnreadable is returned for a stored account that this version can't decode.
var ErrUnreadable = errors.New("stored quota account is unreadable")

// Decode decodes a stored account.
func Decode(data []byte) (*Account, error) {
	a := &Account{}
	if err := json.Unmarshal(data, a); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	return a, nil
}

// Initial returns the account with which a region begins. The regions' shares add up to the total exactly, since each
// begins where the previous one ends.
func Initial(total Share, regions []Region, name string) *Account {
	a := &Account{Total: total}
	start := 0.0
	for i, r := range regions {
		end := start + r.Share
		if i == len(regions)-1 {
			end = 1
		}
		if r.Name == name {
			a.Held = total.portion(end).Minus(total.portion(start))
		}
		start = end
	}
	return a
}

// Usable converts a held share from the limits that were divided to the current ones. An account keeps shares of the
// limits that were divided first. If they have changed since, a share is the same fraction of the new limits, rounded
// down so that the regions' shares do not add up to more. A resource that had no limit when it was divided is divided
// as initially.
func (a *Account) Usable(held, total Share, initial Share) Share {
	usable := Share{Limit: held.Limit.scaled(a.Total.Limit, total.Limit, false),
		Guarantee: held.Guarantee.scaled(a.Total.Guarantee, total.Guarantee, false)}
	usable.Limit = usable.Limit.replaceUnlimited(a.Total.Limit, initial.Limit)
	usable.Guarantee = usable.Guarantee.replaceUnlimited(a.Total.Guarantee, initial.Guarantee)
	return usable
}

// replaceUnlimited returns the amount, with the replacement for each resource that has no limit in total.
func (a Amount) replaceUnlimited(total, replacement Amount) Amount {
	if total.GPUs == 0 {
		a.GPUs = replacement.GPUs
	}
	if total.CPUs == 0 {
		a.CPUs = replacement.CPUs
	}
	return a
}

// ToAccountUnits converts a share of the current limits to one of the limits that were divided, rounded up. It is the
// inverse of Usable for shares that are needed.
func (a *Account) ToAccountUnits(s, total Share) Share {
	return Share{
		Limit:     s.Limit.scaled(total.Limit, a.Total.Limit, true),
		Guarantee: s.Guarantee.scaled(total.Guarantee, a.Total.Guarantee, true),
	}
}

// portion returns a fraction of a share, rounded down.
func (s Share) portion(fraction float64) Share {
	portionOf := func(x int64) int64 { return int64(float64(x)*fraction + roundingError) }
	return Share{Limit: Amount{portionOf(s.Limit.GPUs), portionOf(s.Limit.CPUs)}, Guarantee: Amount{portionOf(s.Guarantee.GPUs), portionOf(s.Guarantee.CPUs)}}
}

// clone returns a deep copy of the account.
func (a *Account) clone() *Account {
	b := *a
	b.Outgoing, b.Sent, b.Received = slices.Clone(a.Outgoing), maps.Clone(a.Sent), maps.Clone(a.Received)
	return &b
}

// Grant returns the account after a transfer of the requested share to another region, as far as it is not needed here.
// It returns nil if there is nothing to transfer, or if an earlier transfer to that region is not acknowledged yet.
func (a *Account) Grant(from, to string, requested, needed Share) *Account {
	if slices.ContainsFunc(a.Outgoing, func(t Transfer) bool { return t.To == to }) {
		return nil
	}
	share := requested.Min(a.Held.Minus(needed))
	if share.IsZero() {
		return nil
	}
	b := a.clone()
	if b.Sent == nil {
		b.Sent = map[string]uint64{}
	}
	b.Sent[to]++
	b.Held = b.Held.Minus(share)
	b.Outgoing = append(b.Outgoing, Transfer{From: from, To: to, Number: b.Sent[to], Share: share})
	return b
}

// Receive returns the account after a transfer was received, and the result. It returns the same account if the
// transfer is not credited.
func (a *Account) Receive(t Transfer) (*Account, Receipt) {
	switch last := a.Received[t.From]; {
	case t.Number <= last:
		return a, Duplicate
	case t.Number > last+1:
		return a, OutOfOrder
	}
	b := a.clone()
	if b.Received == nil {
		b.Received = map[string]uint64{}
	}
	b.Received[t.From] = t.Number
	b.Held = b.Held.Plus(t.Share)
	return b, Accepted
}

// Acknowledge returns the account after a region has acknowledged a transfer. It returns the same account if the
// transfer was acknowledged before.
func (a *Account) Acknowledge(to string, number uint64) *Account {
	acknowledged := func(t Transfer) bool { return t.To == to && t.Number <= number }
	if !slices.ContainsFunc(a.Outgoing, acknowledged) {
		return a
	}
	b := a.clone()
	b.Outgoing = slices.DeleteFunc(b.Outgoing, acknowledged)
	return b
}

// MissingShare returns the share that a region has to request: what its jobs need, up to the total, beyond what it
// holds.
func (a *Account) MissingShare(needed Share) Share { return needed.Min(a.Total).Minus(a.Held) }
