package core

import (
	"math"
	"time"

	"bitternwing/internal/budget"
	"bitternwing/internal/config"
	"bitternwing/internal/election"
	"bitternwing/internal/membership"
	"bitternwing/internal/outcome"
	"bitternwing/internal/pacing"
	"bitternwing/internal/watchcache"
	"bitternwing/internal/wire"
)

// Core is the state machine of one controller node.
type Core struct {
	settings *config.Settings
	operator *config.Operator
	// incarnation tells this process from earlier ones of the same node.
	incarnation string
	times       times

	now        Time
	effects    []Effect
	lastCallID uint64
	pending    map[uint64]func(Result)

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

	catalog         []wire.MachineType
	catalogAt       time.Duration
	catalogInFlight bool

	// What was last seen of the state service; health and outage mode go by it.
	storeServedAt      time.Duration
	storeDown          bool
	storeProbeInFlight bool
	nextStoreProbe     time.Duration
	lastHeartbeat      time.Duration // when a worker last reported here; negative: never
	wakeAt             time.Duration
	evaluationCost     budget.Cost
	// nothingChanged tells that the input of this step gave nothing to do before the core wakes anyway.
	nothingChanged bool
	// shedding tells that users are sent to other nodes.
	shedding      bool
	pacer         *pacing.Pacer
	timerLoad     *pacing.Load // by late timers
	requestLoad   *pacing.Load // by requests that have waited, too
	sizeWarnings  sizeWarnings
	leaseRenewals leaseRenewals
	// omitDebug tells that log lines of level Debug are not made.
	omitDebug bool
}

// times are the durations derived from the settings, each a ratio of one of them.
type times struct {
	heartbeatInterval  time.Duration // workers' report interval
	checkInterval      time.Duration // how often what may fail is looked at, and how long a call may take
	lease              time.Duration // workers' lease
	cancelDeadline     time.Duration // time for a cancelled job's tasks to be gone
	leaderTTL          time.Duration // life of the leader's lease
	listLag            time.Duration
	storeProbeInterval time.Duration // how often the state service is looked at
	retryPause         time.Duration // pause after a refusal
	timerCoalescing    time.Duration // apart are the moments at which what need not be in time is done
	heartbeatTimeout   time.Duration // a machine that is silent for longer gets no work
	cycleInterval      time.Duration
	minCycleGap        time.Duration // least time between rounds that events ask for
	minCompareGap      time.Duration // least time between compare batches of a node
	minWatchGap        time.Duration // least time between two watches
}

func newTimes(s *config.Settings, op *config.Operator) times {
	p := s.Params
	t := times{
		heartbeatInterval: config.Seconds(p.Workers.HeartbeatIntervalS),
		lease:             config.Seconds(p.Workers.LeaseS),
		cancelDeadline:    config.Seconds(p.Workers.CancelS),
		listLag:           config.Seconds(p.Cloud.ListLagS),
		cycleInterval:     config.Seconds(op.CycleIntervalS),
	}
	nodes := float64(len(s.Peers) + 1)
	t.leaderTTL = time.Duration(float64(t.lease) * op.LeaderTTLLeases)
	// What has to be noticed and made good within workers' leases goes by these, however
	// seldom workers report.
	t.checkInterval = config.FailureCheckInterval(p.Workers)
	t.storeProbeInterval = t.checkInterval
	t.retryPause = t.checkInterval / 4
	t.timerCoalescing = t.checkInterval / 4
	t.minCycleGap = t.cycleInterval / 40
	t.heartbeatTimeout = max(3*t.heartbeatInterval/2, 3*t.checkInterval)
	// A node's polls use at most a sixth of its share of the requests, a watch
	// at most a fifth.
	t.minCompareGap = config.Seconds(6 * nodes / p.Store.Next.Within(p.Store).RPS / 3)
	t.minWatchGap = config.Seconds(5 * nodes / p.Store.Next.Within(p.Store).RPS / 2)
	return t
}

// New makes the core of a node.
func New(s *config.Settings, incarnation string) *Core {
	op := s.Operator
	if op == nil {
		op = config.DefaultOperator()
	}
	c := &Core{settings: s, operator: op, incarnation: incarnation, times: newTimes(s, op),
		pending: map[uint64]func(Result){}, lastHeartbeat: -1}
	c.pacer = pacing.NewPacer(c.times.heartbeatInterval, c.times.lease, wire.HeartbeatTimeout)
	c.timerLoad = pacing.NewLoad(c.times.checkInterval, c.times.lease)
	c.requestLoad = pacing.NewLoad(c.times.checkInterval, c.times.lease)
	c.cache = watchcache.New(int(finalStatesPerMB * s.Params.Limits.MemoryMB))
	c.storeWatch = newStoreWatch(c)
	c.dependencies = newDependencyTracker(c)
	c.limits = newStoreLimits(s.Params.Store)
	c.users = newUserRequests(c)
	c.leaseRelay = newLeaseRelay(c)
	c.cancellations = &cancellationReplicator{core: c}
	c.members = newMembers(s, c.times)
	c.election = newElection(c)
	return c
}

// Step takes an input and returns what to do. The slice is valid until the next
// call.
func (c *Core) Step(now Time, in Input) []Effect {
	c.now = now
	c.evaluationCost.Observe(now.Took)
	c.observeLoad()
	c.nothingChanged = false
	clear(c.effects)
	c.effects = c.effects[:0]
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
		c.respond(in.RequestID, 200, nil)
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
		if f := c.pending[in.CallID]; f != nil {
			delete(c.pending, in.CallID)
			f(in)
		}
	case Tick:
	}
	if !c.nothingChanged || c.now.Steady >= c.wakeAt {
		c.runDue()
	}
	return c.effects
}

// farFuture is later than all times.
const farFuture = time.Duration(math.MaxInt64)

// Wake tells when Step wants a Tick at the latest.
func (c *Core) Wake() time.Duration { return c.wakeAt }

// coalesce puts a time off to one of the moments at which what need not be in time is done, so that a node wakes
// for many such things at once.
func (c *Core) coalesce(t time.Duration) time.Duration {
	return (t + c.times.timerCoalescing - 1) / c.times.timerCoalescing * c.times.timerCoalescing
}

func (c *Core) wakeBy(t time.Duration) {
	if t < c.wakeAt {
		c.wakeAt = t
	}
}

// runDue does what is due. Every part sets when it wants to be woken.
func (c *Core) runDue() {
	c.wakeAt = c.now.Steady + c.times.storeProbeInterval
	c.refreshCatalog()
	c.storeWatch.run()
	c.probeStore()
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

// registerCall registers what happens with a call's result and gives the call's ID.
func (c *Core) registerCall(f func(Result)) uint64 {
	c.lastCallID++
	c.pending[c.lastCallID] = f
	return c.lastCallID
}

// registerStoreCall is call for the state service: it also keeps what is known of its
// health.
func (c *Core) registerStoreCall(f func(Result)) uint64 {
	return c.registerCall(func(r Result) {
		c.observeStoreOutcome(r.Outcome)
		f(r)
	})
}

func (c *Core) observeStoreOutcome(o outcome.Outcome) {
	if o == outcome.Dropped {
		return // too much was asked for: that is no outage
	}
	down := o == outcome.Unavailable || o == outcome.Unknown
	if !down {
		c.storeServedAt = c.now.Steady
	}
	if down != c.storeDown {
		c.storeDown = down
		if down {
			c.log(Info, "key-value store unavailable", "outcome", o.String())
		} else {
			c.log(Info, "key-value store available")
		}
	}
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) respond(req uint64, status int, body any) {
	c.emit(Response{RequestID: req, Status: status, Body: body})
}

// respondRetryLater tells a user to come back. It is the only answer for what can't be
// confirmed now, and it is given at once.
func (c *Core) respondRetryLater(req uint64, status int, why string) {
	c.emit(Response{RequestID: req, Status: status, Body: wire.ErrorBody{Error: why}, RetryAfterS: 1})
}

// OmitDebugLines has the core make no log lines of level Debug, for a node that would drop them.
func (c *Core) OmitDebugLines() { c.omitDebug = true }

func (c *Core) log(l Level, msg string, pairs ...any) {
	if c.omitDebug && l == Debug {
		return
	}
	c.emit(Log{Level: l, Message: msg, Fields: pairs})
}

// probeStore looks at the state service when nothing else did for a while, so that
// health and outage mode rest on fresh knowledge.
func (c *Core) probeStore() {
	every := c.times.storeProbeInterval
	if c.storeDown {
		every /= 2
	}
	due := c.coalesce(c.storeServedAt + every)
	if c.storeProbeInFlight {
		return
	}
	if c.now.Steady < due && !c.storeDown {
		c.wakeBy(due)
		return
	}
	if c.now.Steady < c.nextStoreProbe {
		c.wakeBy(c.nextStoreProbe)
		return
	}
	c.storeProbeInFlight = true
	c.nextStoreProbe = c.now.Steady + every
	id := c.registerStoreCall(func(Result) { c.storeProbeInFlight = false })
	c.emit(StoreTxn{CallID: id, Txn: wire.Txn{If: []wire.Condition{c.cache.LeaderCondition()}}})
}

// refreshCatalog keeps the machine types. They change seldom; prices drift, so the
// leader reads them anew now and then. The catalog is kept in the state service
// too, so that a node can judge submissions while the cloud is down.
func (c *Core) refreshCatalog() {
	if c.catalogInFlight || !c.cache.Ready() {
		return
	}
	if c.catalog == nil && c.cache.Catalog() != nil {
		c.catalog = c.cache.Catalog()
		c.catalogAt = c.now.Steady
	}
	every := 30 * c.times.listLag
	if c.catalog == nil {
		every = c.times.storeProbeInterval
	} else if c.leader == nil {
		return
	}
	due := c.catalogAt + every
	if c.catalogAt != 0 && c.now.Steady < due {
		c.wakeBy(due)
		return
	}
	c.catalogInFlight = true
	c.catalogAt = c.now.Steady
	id := c.registerCall(func(r Result) {
		c.catalogInFlight = false
		if r.Outcome != outcome.OK || len(r.Catalog.Types) == 0 {
			return
		}
		c.catalog = r.Catalog.Types
	})
	c.emit(CloudCatalog{CallID: id})
}

func (c *Core) machineType(name string) *wire.MachineType {
	for i := range c.catalog {
		if c.catalog[i].Name == name {
			return &c.catalog[i]
		}
	}
	return nil
}

func (c *Core) team(name string) *config.Team {
	for i := range c.settings.Params.Teams {
		if c.settings.Params.Teams[i].Name == name {
			return &c.settings.Params.Teams[i]
		}
	}
	return nil
}
