package core

import (
	"net/http"

	"bitternwing/internal/quota"
	"bitternwing/internal/wire"
)

// Messages from other regions about a team's quota. Only the leader responds to them; other nodes redirect to it.
type (
	// RequestQuota is a request from another region in which tasks of a team wait for quota.
	RequestQuota struct {
		RequestID uint64
		From      string
		Team      string
		Total     quota.Share // limit and guarantee by the settings of the requesting region
		Share     quota.Share // share that is missing there
	}
	// DeliverQuota delivers a transfer from another region. The response 200 acknowledges that it is committed.
	DeliverQuota struct {
		RequestID uint64
		Team      string
		Total     quota.Share // limit and guarantee by the settings of the sending region
		Transfer  quota.Transfer
	}
)

func (RequestQuota) input() {}
func (DeliverQuota) input() {}

// CallRegion sends one of the messages to a region. Attempt selects which of the region's nodes is called.
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

// quotaForMessage returns the quota that a message is about. If the message can't be accepted, it rejects the
// message and returns nil.
func (c *Core) quotaForMessage(requestID uint64, from, team string, total quota.Share) *teamQuota {
	l := c.leaderForRequest(requestID)
	if l == nil {
		return nil
	}
	t := l.quotas.teams[team]
	switch {
	case !c.operator.Regions.Enabled():
		c.respondRejected(requestID, reasonNoRegions)
	case !c.operator.Regions.HasOther(from):
		c.respondRejected(requestID, reasonNoSuchRegion)
	case t == nil:
		c.respond(requestID, http.StatusNotFound, wire.ErrorBody{Error: reasonNoSuchTeam})
	case t.total != total:
		if !t.limitMismatchLogged {
			t.limitMismatchLogged = true // log it once per term
			c.log(Error, "team limits differ between regions", "team", team, "region", from)
		}
		c.respondRejected(requestID, reasonLimitsDiffer)
	case t.account == nil || !l.mayCommit() || len(t.requests)+len(t.deliveries) >= c.operator.MaxPendingRequests:
		c.respondRetryLater(requestID, http.StatusServiceUnavailable, reasonUnavailable)
	default:
		return t
	}
	return nil
}

// handleQuotaRequest queues another region's request for a share of a team's quota.
func (c *Core) handleQuotaRequest(in RequestQuota) {
	if t := c.quotaForMessage(in.RequestID, in.From, in.Team, in.Total); t != nil {
		t.requests = append(t.requests, in)
		c.leader.quotas.nextCheck = c.now.Steady
	}
}

// handleQuotaDelivery queues a transfer from another region.
func (c *Core) handleQuotaDelivery(in DeliverQuota) {
	if in.Transfer.To != c.operator.Regions.Name {
		c.respondRejected(in.RequestID, reasonNoSuchRegion)
		return
	}
	if t := c.quotaForMessage(in.RequestID, in.Transfer.From, in.Team, in.Total); t != nil {
		t.deliveries = append(t.deliveries, in)
		c.leader.quotas.nextCheck = c.now.Steady
	}
}
