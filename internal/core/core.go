package core

import (
	"math"
	"time"

	"bitternwing/internal/budget"
	"bitternwing/internal/call"
	"bitternwing/internal/config"
	"bitternwing/internal/pacing"
	"bitternwing/internal/wire"
)

// Core is the state machine of one controller node.
type Core struct {
	set *config.Settings
	op  *config.Operator
	// incarnation tells this process from earlier ones of the same node.
	incarnation string
	t           times

	now     Time
	out     []Effect
	nextID  uint64
	pending map[uint64]func(Result)

	dir     *directory
	deps    *dependencies
	limits  *limits
	users   *users
	elect   *election
	relay   *leaseRelay
	cancels *cancellationReplicator
	lead    *leader // nil unless this node holds a term
	peers   []*peer

	catalog     []wire.MachineType
	catalogAt   time.Duration
	catalogBusy bool

	// What was last seen of the state service; health and outage mode go by it.
	stateOKAt   time.Duration
	stateDown   bool
	stateAsking bool
	probeAt     time.Duration
	lastReport  time.Duration // when a worker last reported here; negative: never
	wake        time.Duration
	evaluations budget.Cost
	// eventless tells that the input of this step gave nothing to do before the core wakes anyway.
	eventless bool
	// shedding tells that users are sent to other nodes.
	shedding bool
	pacer    *pacing.Pacer
	load     *pacing.Load // by late timers
	backlog  *pacing.Load // by requests that have waited, too
	sized    sizeWarnings
	renewals leaseRenewals
	// omitDebug tells that log lines of level Debug are not made.
	omitDebug bool
}

// times are the durations derived from the settings, each a ratio of one of them.
type times struct {
	report    time.Duration // workers' report interval
	heartbeat time.Duration // how often what may fail is looked at, and how long a call may take
	lease     time.Duration // workers' lease
	cancel    time.Duration // time for a cancelled job's tasks to be gone
	leaderTTL time.Duration // life of the leader's lease
	listLag   time.Duration
	probe     time.Duration // how often the state service is looked at
	retry     time.Duration // pause after a refusal
	moment    time.Duration // apart are the moments at which what need not be in time is done
	quiet     time.Duration // a machine that is silent for longer gets no work
	round     time.Duration
	eventGap  time.Duration // least time between rounds that events ask for
	batchGap  time.Duration // least time between compare batches of a node
	watchGap  time.Duration // least time between two watches
}

func timesOf(s *config.Settings, op *config.Operator) times {
	p := s.Params
	t := times{
		report:  config.Seconds(p.Workers.HeartbeatIntervalS),
		lease:   config.Seconds(p.Workers.LeaseS),
		cancel:  config.Seconds(p.Workers.CancelS),
		listLag: config.Seconds(p.Cloud.ListLagS),
		round:   config.Seconds(op.RoundS),
	}
	nodes := float64(len(s.Peers) + 1)
	t.leaderTTL = time.Duration(float64(t.lease) * op.LeaderTTLLeases)
	// What has to be noticed and made good within workers' leases goes by these, however
	// seldom workers report.
	t.heartbeat = config.FailureCheckInterval(p.Workers)
	t.probe = t.heartbeat
	t.retry = t.heartbeat / 4
	t.moment = t.heartbeat / 4
	t.eventGap = t.round / 40
	t.quiet = max(3*t.report/2, 3*t.heartbeat)
	// A node's polls use at most a sixth of its share of the requests, a watch
	// at most a fifth.
	t.batchGap = config.Seconds(6 * nodes / p.Store.Next.Within(p.Store).RPS / 3)
	t.watchGap = config.Seconds(5 * nodes / p.Store.Next.Within(p.Store).RPS / 2)
	return t
}

// New makes the core of a node.
func New(s *config.Settings, incarnation string) *Core {
	op := s.Operator
	if op == nil {
		op = config.DefaultOperator()
	}
	c := &Core{set: s, op: op, incarnation: incarnation, t: timesOf(s, op),
		pending: map[uint64]func(Result){}, lastReport: -1}
	c.pacer = pacing.NewPacer(c.t.report, c.t.lease, wire.HeartbeatTimeout)
	c.load = pacing.NewLoad(c.t.heartbeat, c.t.lease)
	c.backlog = pacing.NewLoad(c.t.heartbeat, c.t.lease)
	c.dir = newDirectory()
	c.deps = newDependencies(c)
	c.limits = newLimits(s.Params.Store)
	c.users = newUsers(c)
	c.elect = newElection(c)
	c.relay = newLeaseRelay(c)
	c.cancels = &cancellationReplicator{c: c}
	for _, p := range s.Peers {
		c.peers = append(c.peers, &peer{node: p.Node, zone: p.Zone})
	}
	return c
}

// Step takes an input and returns what to do. The slice is valid until the next
// call.
func (c *Core) Step(now Time, in Input) []Effect {
	c.now = now
	c.evaluations.Learn(now.Took)
	c.observeLoad()
	c.eventless = false
	clear(c.out)
	c.out = c.out[:0]
	switch in := in.(type) {
	case Submit:
		c.users.submit(in)
	case Poll:
		c.users.poll(in)
	case Cancel:
		c.users.cancel(in)
	case Checkin:
		c.checkin(in)
	case CancellationsReceived:
		c.receiveCancellations(in.Cancellations)
		c.answer(in.Req, 200, nil)
	case ApplyPlan:
		c.applyPlanRequest(in)
	case ChangePlan:
		c.changePlan(in)
	case ShowPlan:
		c.showPlan(in)
	case RoutePlan:
		c.routePlan(in)
	case AskAllowance:
		c.askAllowance(in)
	case DeliverAllowance:
		c.deliverAllowance(in)
	case ShowPlacements:
		c.showPlacements(in)
	case Result:
		if f := c.pending[in.ID]; f != nil {
			delete(c.pending, in.ID)
			f(in)
		}
	case Tick:
	}
	if !c.eventless || c.now.Steady >= c.wake {
		c.run()
	}
	return c.out
}

// farFuture is later than all times.
const farFuture = time.Duration(math.MaxInt64)

// Wake tells when Step wants a Tick at the latest.
func (c *Core) Wake() time.Duration { return c.wake }

// aligned puts a time off to one of the moments at which what need not be in time is done, so that a node wakes
// for many such things at once.
func (c *Core) aligned(t time.Duration) time.Duration {
	return (t + c.t.moment - 1) / c.t.moment * c.t.moment
}

func (c *Core) at(t time.Duration) {
	if t < c.wake {
		c.wake = t
	}
}

// run does what is due. Every part sets when it wants to be woken.
func (c *Core) run() {
	c.wake = c.now.Steady + c.t.probe
	c.runCatalog()
	c.runDirectory()
	c.runProbe()
	c.runPeers()
	c.deps.run()
	c.elect.run()
	c.relay.run()
	if c.lead != nil {
		c.lead.run()
	}
	c.users.run()
	c.cancels.settlePending()
}

// call registers what happens with a call's result and gives the call's ID.
func (c *Core) call(f func(Result)) uint64 {
	c.nextID++
	c.pending[c.nextID] = f
	return c.nextID
}

// stateCall is call for the state service: it also keeps what is known of its
// health.
func (c *Core) stateCall(f func(Result)) uint64 {
	return c.call(func(r Result) {
		c.sawState(r.Outcome)
		f(r)
	})
}

func (c *Core) sawState(o call.Outcome) {
	if o == call.Dropped {
		return // too much was asked for: that is no outage
	}
	down := o == call.Refused || o == call.Unknown
	if !down {
		c.stateOKAt = c.now.Steady
	}
	if down != c.stateDown {
		c.stateDown = down
		if down {
			c.log(Info, "state service does not serve this node", "outcome", o.String())
		} else {
			c.log(Info, "state service serves this node")
		}
	}
}

func (c *Core) send(e Effect) { c.out = append(c.out, e) }

func (c *Core) answer(req uint64, status int, body any) {
	c.send(Answer{Req: req, Status: status, Body: body})
}

// later tells a user to come back. It is the only answer for what can't be
// confirmed now, and it is given at once.
func (c *Core) later(req uint64, status int, why string) {
	c.send(Answer{Req: req, Status: status, Body: wire.ErrorBody{Error: why}, RetryAfter: 1})
}

// OmitDebugLines has the core make no log lines of level Debug, for a node that would drop them.
func (c *Core) OmitDebugLines() { c.omitDebug = true }

func (c *Core) log(l Level, msg string, pairs ...any) {
	if c.omitDebug && l == Debug {
		return
	}
	c.send(Log{Level: l, Message: msg, Pairs: pairs})
}

// runProbe looks at the state service when nothing else did for a while, so that
// health and outage mode rest on fresh knowledge.
func (c *Core) runProbe() {
	every := c.t.probe
	if c.stateDown {
		every /= 2
	}
	due := c.aligned(c.stateOKAt + every)
	if c.stateAsking {
		return
	}
	if c.now.Steady < due && !c.stateDown {
		c.at(due)
		return
	}
	if c.now.Steady < c.probeAt {
		c.at(c.probeAt)
		return
	}
	c.stateAsking = true
	c.probeAt = c.now.Steady + every
	id := c.stateCall(func(Result) { c.stateAsking = false })
	c.send(StateTxn{ID: id, Txn: wire.Txn{If: []wire.Condition{c.dir.leadCond()}}})
}

// Healthy tells whether this node can take requests. A node that alone is refused
// by the state service is unhealthy, and one that sheds users; in an outage for all, nodes stay healthy, so
// that users get their 503 at once and nothing has to be added again afterwards.
func (c *Core) Healthy() bool {
	if c.shedding {
		return false
	}
	if !c.dir.ready || c.catalog == nil {
		// Started in an outage for all: like the others.
		return c.stateDown && len(c.peers) > 0 && c.noneServed()
	}
	if !c.stateDown {
		return true
	}
	if c.now.Steady-c.stateOKAt < c.t.heartbeat {
		return true
	}
	return c.allRefused()
}

// PeerStatus is what this node tells the others of itself.
func (c *Core) PeerStatus() PeerStatus {
	s := PeerStatus{StateDown: c.stateDown || !c.dir.ready, Term: c.dir.term.Term, ReportAge: -1, Layouts: layoutByTask, KnowsPlans: true}
	if c.dir.ready {
		s.Revision = c.dir.revision
	}
	if c.lead != nil {
		s.Leads = true
		s.ZonesApart = c.lead.apart
		s.Unsettled, s.UnsettledMore = c.lead.unsettledJobs()
		s.Term = max(s.Term, c.lead.term)
	}
	if c.lastReport >= 0 {
		s.ReportAge = c.now.Steady - c.lastReport
	}
	return s
}

// runCatalog keeps the machine types. They change seldom; prices drift, so the
// leader reads them anew now and then. The catalog is kept in the state service
// too, so that a node can judge submissions while the cloud is down.
func (c *Core) runCatalog() {
	if c.catalogBusy || !c.dir.ready {
		return
	}
	if c.catalog == nil && c.dir.catalog != nil {
		c.catalog = c.dir.catalog
		c.catalogAt = c.now.Steady
	}
	every := 30 * c.t.listLag
	if c.catalog == nil {
		every = c.t.probe
	} else if c.lead == nil {
		return
	}
	due := c.catalogAt + every
	if c.catalogAt != 0 && c.now.Steady < due {
		c.at(due)
		return
	}
	c.catalogBusy = true
	c.catalogAt = c.now.Steady
	id := c.call(func(r Result) {
		c.catalogBusy = false
		if r.Outcome != call.OK || len(r.Catalog.Types) == 0 {
			return
		}
		c.catalog = r.Catalog.Types
	})
	c.send(CloudCatalog{ID: id})
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
	for i := range c.set.Params.Teams {
		if c.set.Params.Teams[i].Name == name {
			return &c.set.Params.Teams[i]
		}
	}
	return nil
}
