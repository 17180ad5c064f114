package core

import (
	"math"
	"net/http"
	"time"

	"bitternwing/internal/budget"
	"bitternwing/internal/config"
	"bitternwing/internal/election"
	"bitternwing/internal/membership"
	"bitternwing/internal/pacing"
	"bitternwing/internal/watchcache"
	"bitternwing/internal/wire"
)

// Core is the state machine of one controller node.
type Core struct {
	settings *config.Settings
	operator *config.OperatorSettings
	// incarnation tells this process from earlier ones of the same node.
	incarnation string
	times       times

	now        Time
	effects    []Effect
	lastCallID uint64
	// pendingCalls are the handlers of calls without a result yet, by call ID.
	pendingCalls map[uint64]resultHandler

	cache         *watchcache.Cache
	storeWatch    *storeWatch
	dependencies  *dependencyTracker
	limits        *storeLimits
	users         *userRequests
	election      *election.Election
	leaseRelay    *leaseRelay
	cancellations *cancellationReplicator
	leader        *leader // nil unless this node holds a term
	members       *membership.Members

	catalog     machineCatalog
	storeHealth storeHealth

	lastHeartbeat  time.Duration // when a worker's heartbeat last came here; negative: never
	wakeAt         time.Duration
	evaluationCost budget.Cost
	// nothingChanged tells that the input of this step left nothing to do before the core wakes anyway.
	nothingChanged bool
	// shedding tells that users are sent to other nodes.
	shedding      bool
	pacer         *pacing.Pacer
	timerLoad     *pacing.Load // by late timers
	requestLoad   *pacing.Load // by late timers and requests that have waited
	sizeWarnings  sizeWarnings
	leaseRenewals leaseRenewals
	// omitDebug tells that log lines of level Debug are not made.
	omitDebug bool
}

// New makes the core of a node.
func New(settings *config.Settings, incarnation string) *Core {
	operator := settings.Operator
	if operator == nil {
		operator = config.DefaultOperatorSettings()
	}
	c := &Core{settings: settings, operator: operator, incarnation: incarnation, times: newTimes(settings, operator),
		pendingCalls: map[uint64]resultHandler{}, lastHeartbeat: -1}
	c.catalog.core, c.storeHealth.core = c, c
	c.pacer = pacing.NewPacer(c.times.heartbeatInterval, c.times.lease, wire.HeartbeatTimeout)
	c.timerLoad = pacing.NewLoad(c.times.checkInterval, c.times.lease)
	c.requestLoad = pacing.NewLoad(c.times.checkInterval, c.times.lease)
	c.cache = watchcache.New(int(finalStatesPerMB * settings.Params.Limits.MemoryMB))
	c.storeWatch = newStoreWatch(c)
	c.dependencies = newDependencyTracker(c)
	c.limits = newStoreLimits(settings.Params.Store)
	c.users = newUserRequests(c)
	c.leaseRelay = newLeaseRelay(c)
	c.cancellations = &cancellationReplicator{core: c}
	c.members = newMembers(settings, c.times)
	c.election = newElection(c)
	return c
}

// Step takes in an input and returns the effects to carry out. The slice is valid until the next call.
func (c *Core) Step(now Time, in Input) []Effect {
	c.now = now
	c.evaluationCost.Observe(now.Took)
	c.observeLoad()
	c.nothingChanged = false
	clear(c.effects)
	c.effects = c.effects[:0]
	c.handleInput(in)
	if !c.nothingChanged || c.now.Steady >= c.wakeAt {
		c.runDue()
	}
	return c.effects
}

// handleInput hands an input to the part that it concerns.
func (c *Core) handleInput(in Input) {
	switch in := in.(type) {
	case SubmitJob:
		c.users.submit(in)
	case GetJob:
		c.users.getJob(in)
	case CancelJob:
		c.users.cancel(in)
	case WorkerHeartbeat:
		c.handleHeartbeat(in)
	case ReplicateCancellations:
		c.handleReplicatedCancellations(in.Cancellations)
		c.respond(in.RequestID, http.StatusOK, nil)
	case ApplyPlan:
		c.handleApplyPlan(in)
	case ChangePlan:
		c.handleChangePlan(in)
	case GetPlan:
		c.handleGetPlan(in)
	case GetRouting:
		c.handleGetRouting(in)
	case RequestQuota:
		c.handleQuotaRequest(in)
	case DeliverQuota:
		c.handleQuotaDelivery(in)
	case GetPlacements:
		c.handleGetPlacements(in)
	case Result:
		c.handleResult(in)
	case Tick:
	}
}

// farFuture is later than all times.
const farFuture = time.Duration(math.MaxInt64)

// Wake tells when Step wants a Tick at the latest.
func (c *Core) Wake() time.Duration { return c.wakeAt }

// coalesce defers a time to one of the moments at which deferrable work is done, so that a node wakes for much of it at
// once.
func (c *Core) coalesce(t time.Duration) time.Duration {
	return (t + c.times.timerCoalescing - 1) / c.times.timerCoalescing * c.times.timerCoalescing
}

// wakeBy has the core woken at a time at the latest.
func (c *Core) wakeBy(t time.Duration) {
	if t < c.wakeAt {
		c.wakeAt = t
	}
}

// runDue does the work that is due. Each part sets when it is to be woken.
func (c *Core) runDue() {
	c.wakeAt = c.now.Steady + c.times.storeProbeInterval
	c.catalog.run()
	c.storeWatch.run()
	c.storeHealth.run()
	c.queryPeers()
	c.dependencies.run()
	c.election.Run()
	c.leaseRelay.run()
	if c.leader != nil {
		c.leader.run()
	}
	c.users.run()
	c.cancellations.resolvePending()
}
