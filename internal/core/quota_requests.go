package core

import (
	"net/http"

	"bitternwing/internal/quota"
	"bitternwing/internal/wire"
)

// Messages between regions about a team's quota. Only the leader answers them; other controllers redirect to it.
type (
	// RequestQuota is a request of another region whose work of a team waits.
	RequestQuota struct {
		RequestID uint64
		From      string
		Team      string
		Whole     quota.Share // by the settings of the requesting region
		Share     quota.Share // what it lacks
	}
	// DeliverQuota is a transfer of another region. A response of 200 acknowledges that it is committed.
	DeliverQuota struct {
		RequestID uint64
		Team      string
		Whole     quota.Share
		Transfer  quota.Transfer
	}
)

func (RequestQuota) input() {}
func (DeliverQuota) input() {}

// CallRegion sends one of the messages to a region. Attempt selects one of the addresses of its controllers.
type CallRegion struct {
	CallID  uint64
	Region  string
	Attempt int
	Request *RequestQuota
	Deliver *DeliverQuota
}

func (CallRegion) effect() {}

const (
	reasonNoRegions       = "this region's limits are not divided"
	reasonNoSuchRegion    = "there is no such region"
	reasonNoSuchTeam      = "there is no such team"
	reasonLimitsDiffer    = "the limits of the team differ between regions"
	reasonTransferMissing = "an earlier transfer is missing"
)

// quotaForMessage gives the quota that a message is about. If there is none it answers the message itself and gives nil.
func (c *Core) quotaForMessage(req uint64, from, team string, whole quota.Share) *teamQuota {
	l := c.leaderForRequest(req)
	if l == nil {
		return nil
	}
	t := l.quotas.teams[team]
	switch {
	case !c.operator.Regions.Enabled():
		c.respondRefused(req, reasonNoRegions)
	case !c.operator.Regions.HasOther(from):
		c.respondRefused(req, reasonNoSuchRegion)
	case t == nil:
		c.respond(req, http.StatusNotFound, wire.ErrorBody{Error: reasonNoSuchTeam})
	case t.whole != whole:
		if !t.regionDisagrees {
			t.regionDisagrees = true // it is logged once a term
			c.log(Error, "team limits differ between regions", "team", team, "region", from)
		}
		c.respondRefused(req, reasonLimitsDiffer)
	case t.account == nil || !l.mayCommit() || len(t.requests)+len(t.deliveries) >= c.operator.MaxPendingRequests:
		c.respondRetryLater(req, http.StatusServiceUnavailable, reasonUnavailable)
	default:
		return t
	}
	return nil
}

// handleQuotaRequest queues a region's request for a share of a team's quota.
func (c *Core) handleQuotaRequest(in RequestQuota) {
	if t := c.quotaForMessage(in.RequestID, in.From, in.Team, in.Whole); t != nil {
		t.requests = append(t.requests, in)
		c.leader.quotas.nextCheck = c.now.Steady
	}
}

// handleQuotaDelivery queues a transfer of another region.
func (c *Core) handleQuotaDelivery(in DeliverQuota) {
	if in.Transfer.To != c.operator.Regions.Name {
		c.respondRefused(in.RequestID, reasonNoSuchRegion)
		return
	}
	if t := c.quotaForMessage(in.RequestID, in.Transfer.From, in.Team, in.Whole); t != nil {
		t.deliveries = append(t.deliveries, in)
		c.leader.quotas.nextCheck = c.now.Steady
	}
}
