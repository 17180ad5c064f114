package core

import (
	"bitternwing/internal/allowance"
	"bitternwing/internal/wire"
)

// Messages between regions about a team's allowance. Only the node that leads answers them; others say who that is.
type (
	// AskAllowance is a region whose work of a team waits.
	AskAllowance struct {
		Req   uint64
		From  string
		Team  string
		Whole allowance.Share // as the asking region knows it
		Share allowance.Share // what it lacks
	}
	// DeliverAllowance is a transfer that comes in. The answer says that it is committed.
	DeliverAllowance struct {
		Req      uint64
		Team     string
		Whole    allowance.Share
		Transfer allowance.Transfer
	}
)

func (AskAllowance) input()     {}
func (DeliverAllowance) input() {}

// RegionCall sends one of the messages to a region. Attempt chooses among the addresses of its controllers.
type RegionCall struct {
	ID      uint64
	Region  string
	Attempt int
	Ask     *AskAllowance
	Deliver *DeliverAllowance
}

func (RegionCall) effect() {}

const (
	noRegions     = "this region's limits are not divided"
	noSuchRegion  = "there is no such region"
	noSuchTeam    = "there is no such team"
	otherWhole    = "the limits of the team differ between regions"
	transferFirst = "an earlier transfer is missing"
)

// allowancesFor gives the account that a message is about; nil if the message is answered.
func (c *Core) allowancesFor(req uint64, from, team string, whole allowance.Share) *teamAllowance {
	l := c.answeringLeader(req)
	if l == nil {
		return nil
	}
	t := l.allowances.teams[team]
	switch {
	case !c.op.Regions.Enabled():
		c.refuse(req, noRegions)
	case !c.op.Regions.Other(from):
		c.refuse(req, noSuchRegion)
	case t == nil:
		c.answer(req, 404, wire.ErrorBody{Error: noSuchTeam})
	case t.whole != whole:
		if !t.differs {
			t.differs = true // it is logged once a term
			c.log(Error, "regions have different limits of a team", "team", team, "region", from)
		}
		c.refuse(req, otherWhole)
	case t.account == nil || !c.elect.inTime() || c.stateDown || len(t.asks)+len(t.deliveries) >= c.op.MaxPendingRequests:
		c.later(req, 503, notAvailable)
	default:
		return t
	}
	return nil
}

// askAllowance takes a region's request for a part of a team's allowance.
func (c *Core) askAllowance(in AskAllowance) {
	if t := c.allowancesFor(in.Req, in.From, in.Team, in.Whole); t != nil {
		t.asks = append(t.asks, in)
		c.lead.allowances.at = c.now.Steady
	}
}

// deliverAllowance takes a transfer in.
func (c *Core) deliverAllowance(in DeliverAllowance) {
	if in.Transfer.To != c.op.Regions.Name {
		c.refuse(in.Req, noSuchRegion)
		return
	}
	if t := c.allowancesFor(in.Req, in.Transfer.From, in.Team, in.Whole); t != nil {
		t.deliveries = append(t.deliveries, in)
		c.lead.allowances.at = c.now.Steady
	}
}
