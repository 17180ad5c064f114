package core

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"

	"bitternwing/internal/call"
	"bitternwing/internal/rollout"
	"bitternwing/internal/wire"
)

// Requests of operators and routers about plans. Only the node that leads answers them; others say who that is.
type (
	// ApplyPlan hands in a plan.
	ApplyPlan struct {
		Req  uint64
		Plan *rollout.Plan
	}
	// ChangePlan pauses, resumes or aborts a plan.
	ChangePlan struct {
		Req    uint64
		Name   string
		Change rollout.Change
	}
	// ShowPlan asks how a plan stands.
	ShowPlan struct {
		Req  uint64
		Name string
	}
	// RoutePlan is a router that asks how to share traffic, and tells which generation it goes by.
	RoutePlan struct {
		Req        uint64
		Name       string
		Router     string
		Generation rollout.Generation
	}
)

func (ApplyPlan) input()  {}
func (ChangePlan) input() {}
func (ShowPlan) input()   {}
func (RoutePlan) input()  {}

// PlanStatus is how a plan stands.
type PlanStatus struct {
	Record   *rollout.Record
	Problem  string // why the plan is left alone; "": it is carried out
	Settled  bool   // what follows is known
	Capacity rollout.Capacity
	Routing  rollout.Routing
	Replicas []rollout.ReplicaState
	Routers  []string
}

// RoutingGrant is a routing with the time for which it may be gone by.
type RoutingGrant struct {
	Routing rollout.Routing
	LeaseMS int64
}

const (
	noSuchPlan   = "no such plan"
	plansAreOff  = "rollouts are switched off"
	notAvailable = "can't be confirmed now"
)

// answeringLeader gives the leader if it may answer; else the request is answered.
func (c *Core) answeringLeader(req uint64) *leader {
	l := c.lead
	if l == nil {
		to := ""
		if c.dir.leadVersion != 0 && c.dir.lead.Node != c.set.Node {
			to = c.dir.lead.Node
		}
		c.answer(req, 421, wire.Redirect{Leader: to})
		return nil
	}
	if !l.loaded || !l.entitled() {
		c.later(req, 503, notAvailable)
		return nil
	}
	return l
}

// refuse answers that a request will not be carried out.
func (c *Core) refuse(req uint64, why string) { c.answer(req, 422, wire.ErrorBody{Error: why}) }

// applyPlanRequest takes a plan, if its jobs and its team allow it.
func (c *Core) applyPlanRequest(in ApplyPlan) {
	l := c.answeringLeader(in.Req)
	if l == nil {
		return
	}
	stored := c.dir.plans.byName[in.Plan.Name]
	switch {
	case !c.op.Rollouts.Enabled:
		c.refuse(in.Req, plansAreOff)
	case stored != nil && stored.record != nil && reflect.DeepEqual(&stored.record.Plan, in.Plan):
		c.answer(in.Req, 200, l.planStatus(in.Plan.Name))
	case stored != nil:
		c.refuse(in.Req, "/name: another plan has this name")
	case len(c.dir.plans.byName) >= c.op.Rollouts.MostPlans:
		c.refuse(in.Req, fmt.Sprintf("there are %d plans already", len(c.dir.plans.byName)))
	case !c.elect.inTime() || c.stateDown || len(l.plans.applying) > 0:
		c.later(in.Req, 503, notAvailable)
	case !c.allKnowPlans():
		c.later(in.Req, 503, "not every controller is known to run a version with rollouts")
	case c.dir.termForm < plansTerm:
		l.guard.want(plansTerm)
		c.later(in.Req, 503, notAvailable)
	default:
		if err := l.checkPlan(in.Plan); err != nil {
			c.refuse(in.Req, err.Error())
			return
		}
		l.commitNewPlan(in)
	}
}

// checkPlan checks a plan against the teams and the jobs. Nothing is told of jobs of other teams.
func (l *leader) checkPlan(plan *rollout.Plan) error {
	c := l.c
	team := c.team(plan.Team)
	if team == nil {
		return &rollout.FieldError{Field: "/team", Problem: "there is no such team"}
	}
	replicas := 0
	var cpus, gpus float64
	for i, id := range plan.Old.Jobs {
		e := c.dir.jobs[id]
		if e == nil || !l.freeForPlan(plan, id) || e.CancelledMS != 0 {
			return &rollout.FieldError{Field: fmt.Sprintf("/old/jobs/%d", i), Problem: "is no service of this team that a plan may have"}
		}
		replicas += e.Job.Tasks
		cpus, gpus = cpus+float64(e.Job.Tasks)*e.Job.CPUs, gpus+float64(e.Job.Tasks)*e.Job.GPUs
	}
	for i, id := range plan.New.Jobs {
		field := fmt.Sprintf("/new/jobs/%d", i)
		e, j := c.dir.jobs[id], l.jobs[id]
		_, ended := c.dir.finals[id]
		switch {
		case !l.freeForPlan(plan, id) || ended || e.cancelled():
			return &rollout.FieldError{Field: field, Problem: "is no service of this team that a plan may have"}
		case j != nil && (len(j.placed) > 0 || len(j.chunks) > 0):
			return &rollout.FieldError{Field: field, Problem: "has been placed already"}
		case e != nil:
			cpus, gpus = cpus+float64(e.Job.Tasks)*e.Job.CPUs, gpus+float64(e.Job.Tasks)*e.Job.GPUs
		}
	}
	if whole := plan.Old.ReplicaCapacity * float64(replicas); plan.PromisedCapacity > whole {
		return &rollout.FieldError{Field: "/promised_capacity", Problem: fmt.Sprintf("is more than the old version's capacity of %g", whole)}
	}
	if over(cpus, team.MaxCPUs) || over(gpus, team.MaxGPUs) {
		return &rollout.FieldError{Field: "/new/jobs", Problem: fmt.Sprintf("with the old jobs they take %g CPUs and %g GPUs, beyond the team's limit",
			cpus, gpus)}
	}
	return nil
}

// freeForPlan tells whether an id may be in a plan: no other plan has it, and if it was accepted it is a service of
// the team.
func (l *leader) freeForPlan(plan *rollout.Plan, id string) bool {
	if _, taken := l.c.dir.plans.byJob[id]; taken {
		return false
	}
	e := l.c.dir.jobs[id]
	return e == nil || planMayOwn(plan, e.Job)
}

// commitNewPlan writes a plan. Its new jobs are held from here on, and let go again if it turns out not to be written.
func (l *leader) commitNewPlan(in ApplyPlan) {
	c := l.c
	record := rollout.NewRecord(in.Plan, c.now.WallMS)
	value, err := json.Marshal(record)
	if err != nil || len(value) > c.mostValue() {
		c.refuse(in.Req, fmt.Sprintf("/: the plan is too large: %d bytes are stored, of %d", len(value), c.mostValue()))
		return
	}
	name := in.Plan.Name
	l.plans.applying[name] = record
	l.holdJobs(in.Plan.New.Jobs)
	l.writes.tokens--
	id := l.stateCall(func(r Result) {
		switch {
		case r.Outcome == call.OK:
			c.applyPlan(keyPlans+name, value, r.Txn.Revision)
			l.planApplied(in.Plan)
			c.log(Info, "rollout", "plan", name, "phase", string(record.Phase))
			c.answer(in.Req, 200, l.planStatus(name))
		case r.Outcome == call.Unknown:
			c.later(in.Req, 503, notAvailable)
			l.findPlan(in.Plan)
		case r.Outcome == call.Conflict && slices.Contains(r.Txn.Failed, keyTerm):
			c.later(in.Req, 503, notAvailable)
			c.elect.stepDown("the term moved on")
		default:
			l.planApplied(in.Plan)
			c.later(in.Req, 503, notAvailable)
		}
	})
	c.send(StateTxn{ID: id, Txn: l.newPlanTxn(in.Plan, value)})
}

// newPlanTxn writes a plan on the condition that its jobs are as they were seen.
func (l *leader) newPlanTxn(plan *rollout.Plan, value json.RawMessage) wire.Txn {
	txn := l.keyTxn(keyPlans+plan.Name, 0, wire.Op{Put: keyPlans + plan.Name, Value: value})
	for _, id := range plan.Jobs() {
		cond := wire.Condition{Key: keyFinal + id}
		if e := l.c.dir.jobs[id]; e != nil {
			cond = wire.Condition{Key: keyActive + id, Version: e.version}
		}
		if len(txn.If) < l.c.limits.conditions() {
			txn.If = append(txn.If, cond)
		}
	}
	return txn
}

// planApplied ends the time in which a plan holds its jobs without being known to be written.
func (l *leader) planApplied(plan *rollout.Plan) {
	delete(l.plans.applying, plan.Name)
	l.holdJobs(plan.New.Jobs)
}

// findPlan finds out whether a plan was written. Until then it holds its jobs: its write may come late. A read that
// shows nothing does not end that, so the leader makes way for one whose term the late write can't pass.
func (l *leader) findPlan(plan *rollout.Plan) {
	c := l.c
	id := l.stateCall(func(r Result) {
		if r.Outcome == call.OK {
			c.applyPlan(keyPlans+plan.Name, r.Item.Value, r.Item.Version)
			l.planApplied(plan)
			return
		}
		c.elect.stepDown("a plan may yet be written")
	})
	c.send(StateGet{ID: id, Key: keyPlans + plan.Name})
}

// changePlan takes a change of an operator, which is answered once it is committed.
func (c *Core) changePlan(in ChangePlan) {
	l := c.answeringLeader(in.Req)
	if l == nil {
		return
	}
	stored, run := c.dir.plans.byName[in.Name], l.plans.runs[in.Name]
	switch {
	case stored == nil:
		c.answer(in.Req, 404, wire.ErrorBody{Error: noSuchPlan})
	case stored.problem != nil:
		c.refuse(in.Req, stored.problem.Error())
	case run == nil || !c.elect.inTime() || c.stateDown || len(run.changes) >= c.op.MaxPendingRequests:
		c.later(in.Req, 503, notAvailable)
	default:
		run.changes = append(run.changes, planChange{in.Req, in.Change})
		l.plans.at = c.now.Steady
	}
}

// commitChange commits the first change that waits.
func (l *leader) commitChange(run *planRun, stored *storedPlan) {
	c, x := l.c, run.changes[0]
	run.changes = run.changes[1:]
	next, err := stored.record.Change(x.change, c.now.WallMS)
	switch {
	case err != nil:
		c.refuse(x.req, err.Error())
	case next == stored.record:
		c.answer(x.req, 200, l.planStatus(run.name))
	default:
		l.commitTransition(run, stored, next, func(r Result) {
			if r.Outcome == call.OK {
				c.answer(x.req, 200, l.planStatus(run.name))
			} else {
				c.later(x.req, 503, notAvailable)
			}
		})
	}
}

// showPlan answers how a plan stands.
func (c *Core) showPlan(in ShowPlan) {
	l := c.answeringLeader(in.Req)
	if l == nil {
		return
	}
	if c.dir.plans.byName[in.Name] == nil {
		c.answer(in.Req, 404, wire.ErrorBody{Error: noSuchPlan})
		return
	}
	c.answer(in.Req, 200, l.planStatus(in.Name))
}

// planStatus gives how a plan stands.
func (l *leader) planStatus(name string) PlanStatus {
	stored, run := l.c.dir.plans.byName[name], l.plans.runs[name]
	status := PlanStatus{Record: stored.record}
	if stored.problem != nil {
		status.Problem = stored.problem.Error()
		return status
	}
	if run == nil {
		return status
	}
	o := l.observe(run, stored.record)
	status.Settled, status.Capacity, status.Routing = run.settled, stored.record.Plan.CapacityOf(o), run.routing
	status.Replicas = run.proofs.States(l.c.now.Steady)
	status.Routers = run.routers.Present(nil, l.c.heldLease(), l.c.now.Steady)
	return status
}
