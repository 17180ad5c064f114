package core

import (
	"encoding/json"
	"fmt"
	"net/http"
	"reflect"

	"bitternwing/internal/election"
	"bitternwing/internal/outcome"
	"bitternwing/internal/resource"
	"bitternwing/internal/rollout"
	"bitternwing/internal/scheduling"
	"bitternwing/internal/stored"
	"bitternwing/internal/watchcache"
	"bitternwing/internal/wire"
)

// Requests from operators and routers about plans. Only the leader responds to them; other nodes redirect to it.
type (
	// ApplyPlan submits a plan.
	ApplyPlan struct {
		RequestID uint64
		Plan      *rollout.Plan
	}
	// ChangePlan pauses, resumes or aborts a plan.
	ChangePlan struct {
		RequestID uint64
		Name      string
		Change    rollout.Change
	}
	// GetPlan requests the status of a plan.
	GetPlan struct {
		RequestID uint64
		Name      string
	}
	// GetRouting requests the routing for a router, and confirms the generation that the router uses.
	GetRouting struct {
		RequestID  uint64
		Name       string
		Router     string
		Generation rollout.Generation
	}
)

func (ApplyPlan) input()  {}
func (ChangePlan) input() {}
func (GetPlan) input()    {}
func (GetRouting) input() {}

// PlanStatus is the status of a plan.
type PlanStatus struct {
	Record     *rollout.Record
	Problem    string // why the plan can't be carried out; empty if it can
	Reconciled bool   // whether the leader has reconciled; until then the following fields are incomplete
	Capacity   rollout.Capacity
	Routing    rollout.Routing
	Replicas   []rollout.ReplicaState
	Routers    []string
}

// RoutingGrant is a routing with the lease for which the router may use it.
type RoutingGrant struct {
	Routing rollout.Routing
	LeaseMS int64
}

const (
	reasonNoSuchPlan       = "no such plan"
	reasonRolloutsDisabled = "rollouts are switched off"
	reasonUnavailable      = "can't be confirmed now"
)

// leaderForRequest returns the leader if this node leads and may respond. Otherwise it redirects or rejects the request
// and returns nil.
func (c *Core) leaderForRequest(requestID uint64) *leader {
	l := c.leader
	if l == nil {
		leaderNode := ""
		if c.cache.HasLeader() && c.cache.Leader().Node != c.settings.Node {
			leaderNode = c.cache.Leader().Node
		}
		c.respond(requestID, http.StatusMisdirectedRequest, wire.Redirect{Leader: leaderNode})
		return nil
	}
	if !l.recovered || !l.hasAuthority() {
		c.respondRetryLater(requestID, http.StatusServiceUnavailable, reasonUnavailable)
		return nil
	}
	return l
}

// respondRejected responds to a request that is invalid or not allowed.
func (c *Core) respondRejected(requestID uint64, reason string) {
	c.respond(requestID, http.StatusUnprocessableEntity, wire.ErrorBody{Error: reason})
}

// handleApplyPlan accepts a plan if its team, its jobs and the operator's limits allow it. Applying the same plan again
// succeeds.
func (c *Core) handleApplyPlan(in ApplyPlan) {
	l := c.leaderForRequest(in.RequestID)
	if l == nil {
		return
	}
	current := c.cache.Plan(in.Plan.Name)
	switch {
	case !c.operator.Rollouts.Enabled:
		c.respondRejected(in.RequestID, reasonRolloutsDisabled)
	case current != nil && current.Record != nil && reflect.DeepEqual(&current.Record.Plan, in.Plan):
		c.respond(in.RequestID, http.StatusOK, l.planStatus(in.Plan.Name))
	case current != nil:
		c.respondRejected(in.RequestID, "/name: another plan has this name")
	case c.cache.PlanCount() >= c.operator.Rollouts.MaxPlans:
		c.respondRejected(in.RequestID, fmt.Sprintf("there are %d plans already", c.cache.PlanCount()))
	case !l.mayCommit() || len(l.rollouts.uncommitted) > 0:
		c.respondRetryLater(in.RequestID, http.StatusServiceUnavailable, reasonUnavailable)
	case !c.members.AllSupportRollouts():
		c.respondRetryLater(in.RequestID, http.StatusServiceUnavailable, "not every controller is known to run a version with rollouts")
	case c.cache.TermFormat() < stored.RolloutsTermFormat:
		l.termUpgrade.request(stored.RolloutsTermFormat)
		c.respondRetryLater(in.RequestID, http.StatusServiceUnavailable, reasonUnavailable)
	default:
		if err := l.checkPlan(in.Plan); err != nil {
			c.respondRejected(in.RequestID, err.Error())
			return
		}
		l.commitNewPlan(in)
	}
}

// checkPlan checks a plan against the teams and the jobs. The errors disclose nothing about jobs of other teams.
func (l *leader) checkPlan(plan *rollout.Plan) error {
	team := l.core.team(plan.Team)
	if team == nil {
		return &rollout.FieldError{Field: "/team", Problem: "there is no such team"}
	}
	usage := scheduling.TeamUsage{}
	replicas, err := l.checkOldJobs(plan, usage)
	if err != nil {
		return err
	}
	if err := l.checkNewJobs(plan, usage); err != nil {
		return err
	}
	if available := plan.Old.ReplicaCapacity * float64(replicas); plan.PromisedCapacity > available {
		return &rollout.FieldError{Field: "/promised_capacity", Problem: fmt.Sprintf("is more than the old version's capacity of %g", available)}
	}
	used := usage.ForTeam(plan.Team)
	if scheduling.ExceedsLimit(used.CPUs, team.MaxCPUs) || scheduling.ExceedsLimit(used.GPUs, team.MaxGPUs) {
		return &rollout.FieldError{Field: "/new/jobs",
			Problem: fmt.Sprintf("with the old jobs they take %g CPUs and %g GPUs, beyond the team's limit", used.CPUs, used.GPUs)}
	}
	return nil
}

// problemJobUnavailable is the problem of an unknown job as well as of one that the plan may not have, so that it
// discloses nothing about jobs of other teams.
const problemJobUnavailable = "is no service of this team that a plan may have"

// checkOldJobs checks that a plan's old jobs are accepted services that are not cancelled. It adds their resources to
// usage and returns the number of their replicas.
func (l *leader) checkOldJobs(plan *rollout.Plan, usage scheduling.TeamUsage) (replicas int, err error) {
	for i, id := range plan.Old.Jobs {
		cached := l.core.cache.Job(id)
		if cached == nil || !l.jobAvailableForPlan(plan, id) || cached.CancelledMS != 0 {
			return 0, &rollout.FieldError{Field: fmt.Sprintf("/old/jobs/%d", i), Problem: problemJobUnavailable}
		}
		replicas += cached.Spec.Tasks
		usage.Add(plan.Team, resource.OfTask(cached.Spec), cached.Spec.Tasks)
	}
	return replicas, nil
}

// checkNewJobs checks that no task of a plan's new jobs was ever started. It adds the resources of those that are
// already submitted to usage.
func (l *leader) checkNewJobs(plan *rollout.Plan, usage scheduling.TeamUsage) error {
	for i, id := range plan.New.Jobs {
		field := fmt.Sprintf("/new/jobs/%d", i)
		cached, j := l.core.cache.Job(id), l.jobs[id]
		_, ended := l.core.cache.FinalState(id)
		switch {
		case !l.jobAvailableForPlan(plan, id) || ended || cached.Cancelled():
			return &rollout.FieldError{Field: field, Problem: problemJobUnavailable}
		case j != nil && (len(j.placements) > 0 || len(j.chunks) > 0):
			return &rollout.FieldError{Field: field, Problem: "has been placed already"}
		case cached != nil:
			usage.Add(plan.Team, resource.OfTask(cached.Spec), cached.Spec.Tasks)
		}
	}
	return nil
}

// jobAvailableForPlan reports whether a job may be in a plan: it is in no other plan and, if it was accepted, it is a
// service of the plan's team.
func (l *leader) jobAvailableForPlan(plan *rollout.Plan, id string) bool {
	if l.core.cache.PlanForJob(id) != nil {
		return false
	}
	cached := l.core.cache.Job(id)
	return cached == nil || planMatchesJob(plan, cached.Spec)
}

// commitNewPlan writes a plan. Its new jobs are held back from here on, unless the write turns out not to have been
// applied.
func (l *leader) commitNewPlan(in ApplyPlan) {
	c := l.core
	record := rollout.NewRecord(in.Plan, c.now.WallMS)
	value, err := json.Marshal(record)
	if err != nil || len(value) > c.usableValueBytes() {
		c.respondRejected(in.RequestID, fmt.Sprintf("/: the plan is too large: %d bytes are stored, of %d", len(value), c.usableValueBytes()))
		return
	}
	name := in.Plan.Name
	l.rollouts.uncommitted[name] = record
	l.refreshHoldsOf(in.Plan.New.Jobs)
	l.writer.spend(1)
	id := l.registerStoreCall(func(r Result) {
		switch {
		case r.Outcome == outcome.OK:
			c.applyPlan(name, value, r.Txn.Revision)
			l.planWriteResolved(in.Plan)
			c.log(Info, "rollout phase committed", "plan", name, "phase", string(record.Phase))
			c.respond(in.RequestID, http.StatusOK, l.planStatus(name))
		case r.Outcome == outcome.Unknown:
			c.respondRetryLater(in.RequestID, http.StatusServiceUnavailable, reasonUnavailable)
			l.resolvePlanWrite(in.Plan)
		case termSuperseded(r):
			c.respondRetryLater(in.RequestID, http.StatusServiceUnavailable, reasonUnavailable)
			c.election.StepDown(election.TermSuperseded)
		default:
			l.planWriteResolved(in.Plan)
			c.respondRetryLater(in.RequestID, http.StatusServiceUnavailable, reasonUnavailable)
		}
	})
	c.emit(StoreTxn{CallID: id, Txn: l.newPlanTxn(in.Plan, value)})
}

// newPlanTxn returns a transaction that writes a plan on the condition that its jobs have not changed since they were
// checked, as far as the store's limit on conditions permits.
func (l *leader) newPlanTxn(plan *rollout.Plan, value json.RawMessage) wire.Txn {
	txn := l.conditionalTxn(stored.PlanKey(plan.Name), 0, wire.Op{Put: stored.PlanKey(plan.Name), Value: value})
	for _, id := range plan.Jobs() {
		condition := wire.Condition{Key: stored.FinalStateKey(id)}
		if cached := l.core.cache.Job(id); cached != nil {
			condition = wire.Condition{Key: stored.JobKey(id), Version: cached.Version}
		}
		if len(txn.If) < l.core.limits.maxConditions() {
			txn.If = append(txn.If, condition)
		}
	}
	return txn
}

// planWriteResolved ends the wait for the first write of a plan, whether it was applied or not. From here on only the
// stored record determines which jobs are held back.
func (l *leader) planWriteResolved(plan *rollout.Plan) {
	delete(l.rollouts.uncommitted, plan.Name)
	l.refreshHoldsOf(plan.New.Jobs)
}

// resolvePlanWrite reads whether a plan was written. Until then the plan holds its jobs back, since the write may be
// applied late. If the read fails, the leader steps down: the next term fences off the late write.
func (l *leader) resolvePlanWrite(plan *rollout.Plan) {
	c := l.core
	id := l.registerStoreCall(func(r Result) {
		if r.Outcome == outcome.OK {
			c.applyPlan(plan.Name, r.Item.Value, r.Item.Version)
			l.planWriteResolved(plan)
			return
		}
		c.election.StepDown(election.PlanWriteIndeterminate)
	})
	c.emit(StoreGet{CallID: id, Key: stored.PlanKey(plan.Name)})
}

// handleChangePlan queues an operator's change of a plan. The response is sent once the change is committed.
func (c *Core) handleChangePlan(in ChangePlan) {
	l := c.leaderForRequest(in.RequestID)
	if l == nil {
		return
	}
	current, active := c.cache.Plan(in.Name), l.rollouts.activeByName[in.Name]
	switch {
	case current == nil:
		c.respond(in.RequestID, http.StatusNotFound, wire.ErrorBody{Error: reasonNoSuchPlan})
	case current.Problem != nil:
		c.respondRejected(in.RequestID, current.Problem.Error())
	case active == nil || !l.mayCommit() || len(active.changes) >= c.operator.MaxPendingRequests:
		c.respondRetryLater(in.RequestID, http.StatusServiceUnavailable, reasonUnavailable)
	default:
		active.changes = append(active.changes, planChange{in.RequestID, in.Change})
		l.rollouts.nextCheck = c.now.Steady
	}
}

// commitChange commits the oldest queued change.
func (l *leader) commitChange(active *activeRollout, current *watchcache.Plan) {
	c, pending := l.core, active.changes[0]
	active.changes = active.changes[1:]
	next, err := current.Record.Change(pending.change, c.now.WallMS)
	switch {
	case err != nil:
		c.respondRejected(pending.requestID, err.Error())
	case next == current.Record:
		c.respond(pending.requestID, http.StatusOK, l.planStatus(active.name))
	default:
		l.commitTransition(active, current, next, func(r Result) {
			if r.Outcome == outcome.OK {
				c.respond(pending.requestID, http.StatusOK, l.planStatus(active.name))
			} else {
				c.respondRetryLater(pending.requestID, http.StatusServiceUnavailable, reasonUnavailable)
			}
		})
	}
}

// handleGetPlan responds with the status of a plan.
func (c *Core) handleGetPlan(in GetPlan) {
	l := c.leaderForRequest(in.RequestID)
	if l == nil {
		return
	}
	if c.cache.Plan(in.Name) == nil {
		c.respond(in.RequestID, http.StatusNotFound, wire.ErrorBody{Error: reasonNoSuchPlan})
		return
	}
	c.respond(in.RequestID, http.StatusOK, l.planStatus(in.Name))
}

// planStatus returns the status of a plan.
func (l *leader) planStatus(name string) PlanStatus {
	current, active := l.core.cache.Plan(name), l.rollouts.activeByName[name]
	status := PlanStatus{Record: current.Record}
	if current.Problem != nil {
		status.Problem = current.Problem.Error()
		return status
	}
	if active == nil {
		return status
	}
	o := l.observeRollout(active, current.Record)
	status.Reconciled, status.Capacity, status.Routing = active.reconciled, current.Record.Plan.CapacityOf(o), active.routing
	status.Replicas = active.validations.States(l.core.now.Steady)
	status.Routers = active.routers.Active(nil, l.core.routingHoldTime(), l.core.now.Steady)
	return status
}
