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

// Core is the deterministic state machine of one controller node.
type Core struct {
	settings *config.Settings
	operator *config.OperatorSettings
	// incarnation distinguishes this process from earlier processes of the same node.
	incarnation string
	times       times

	now        Time
	effects    []Effect
	lastCallID uint64
	// pendingCalls maps the IDs of calls in flight to the handlers of their results.
	pendingCalls map[uint64]resultHandler

	cache         *watchcache.Cache
	storeWatch    *storeWatch
	dependencies  *dependencyTracker
	limits        *storeLimits
	users         *userRequests
	election      *election.Election
	leaseRelay    *leaseRelay
	cancellations *cancellationReplicator
	leader        *leader // nil unless this node leads
	members       *membership.Members

	catalog     machineCatalog
	storeHealth storeHealth

	lastHeartbeat  time.Duration // when this node last received a worker's heartbeat; negative: never
	wakeAt         time.Duration
	evaluationCost budget.EvaluationCost
	// nothingChanged is set if the input of this step created no work that is due before wakeAt.
	nothingChanged bool
	// shedding is set while the node reports itself unhealthy so that the load balancer sends users to other nodes.
	shedding      bool
	pacer         *pacing.Pacer
	timerLoad     *pacing.Load // estimated from late timers
	requestLoad   *pacing.Load // estimated from late timers and from how long inputs were queued
	sizeWarnings  sizeWarnings
	leaseRenewals leaseRenewals
	// omitDebug suppresses log lines of level Debug.
	omitDebug     bool
	observePhase  func(Phase) // called when a phase of a step begins; nil: not called
	lastCycleWork CycleWork
}

// New returns the core of a node that does not lead yet. The incarnation identifies this process.
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

// Step processes an input and returns the effects to carry out. The returned slice is valid until the next call.
func (c *Core) Step(now Time, in Input) []Effect {
	c.now = now
	c.evaluationCost.EndStep(now.LastStepDuration)
	c.observeLoad()
	c.nothingChanged = false
	clear(c.effects)
	c.effects = c.effects[:0]
	c.beginPhase(PhaseInput)
	c.handleInput(in)
	if !c.nothingChanged || c.now.Steady >= c.wakeAt {
		c.runDue()
	}
	return c.effects
}

// handleInput dispatches an input to its handler.
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

// farFuture is a time that is never reached.
const farFuture = time.Duration(math.MaxInt64)

// NextWake returns the time by which Step must be called again, with a Tick if there is no other input.
func (c *Core) NextWake() time.Duration { return c.wakeAt }

// coalesce rounds a time up to a multiple of the coalescing interval, so that one wake-up serves many deferrable tasks.
func (c *Core) coalesce(t time.Duration) time.Duration {
	return (t + c.times.timerCoalescing - 1) / c.times.timerCoalescing * c.times.timerCoalescing
}

// wakeBy schedules the next wake-up no later than t.
func (c *Core) wakeBy(t time.Duration) {
	if t < c.wakeAt {
		c.wakeAt = t
	}
}

// runDue runs the work of every component that is due. Each component schedules its own next wake-up.
func (c *Core) runDue() {
	c.wakeAt = c.now.Steady + c.times.storeProbeInterval
	c.beginPhase(PhaseUpkeep)
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
	c.beginPhase(PhaseUsers)
	c.users.run()
	c.cancellations.resolvePending()
}
