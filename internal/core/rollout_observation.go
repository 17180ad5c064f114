package core

import (
	"net"
	"strconv"

	"bitternwing/internal/outcome"
	"bitternwing/internal/rollout"
	"bitternwing/internal/wire"
)

// reconcile marks the plan as reconciled once this leader has received a heartbeat from each machine with tasks of the
// plan and has probed each replica. After a deadline it does so in any case: a worker that has not reached the leader
// within its lease has stopped its tasks.
func (active *activeRollout) reconcile(l *leader, plan *rollout.Plan) {
	c := l.core
	if active.reconciled {
		return
	}
	deadline := active.takenOverAt + c.times.lease + 2*c.probeInterval() + c.probeTimeout()
	reported := c.now.Steady >= active.takenOverAt+c.times.heartbeatTimeout && l.allPlanMachinesReported(plan)
	active.reconciled = c.now.Steady >= deadline || reported && active.validations.AllProbed()
}

// allPlanMachinesReported reports whether each machine with a task of a plan has sent a heartbeat in this term.
func (l *leader) allPlanMachinesReported(plan *rollout.Plan) bool {
	for _, id := range plan.Jobs() {
		j := l.jobs[id]
		if j == nil {
			continue
		}
		for _, p := range j.placements {
			if !p.machine.reportedInTerm {
				return false
			}
		}
	}
	return true
}

// replicasOf returns the running tasks of a plan's jobs, those of the old version first.
func (l *leader) replicasOf(plan *rollout.Plan) []rollout.Replica {
	var replicas []rollout.Replica
	add := func(ids []string, version rollout.Version) {
		for _, id := range ids {
			j := l.jobs[id]
			if j == nil || j.cancelled || !planMatchesJob(plan, j.spec) {
				continue
			}
			for _, p := range j.placementsByTask() {
				address, ok := l.core.modelAddress(p.machine.addr)
				if p.state == wire.TaskRunning && p.stop == stopNone && ok {
					replicas = append(replicas, rollout.Replica{Job: id, Task: p.name(), Attempt: p.attempt, Address: address, Version: version})
				}
			}
		}
	}
	add(plan.Old.Jobs, rollout.OldVersion)
	add(plan.New.Jobs, rollout.NewVersion)
	return replicas
}

// modelAddress returns the address of the model server on a machine, and false if the machine's address is invalid.
func (c *Core) modelAddress(machineAddr string) (string, bool) {
	host, _, err := net.SplitHostPort(machineAddr)
	if err != nil {
		return "", false
	}
	return net.JoinHostPort(host, strconv.Itoa(c.operator.Rollouts.ModelPort)), true
}

// observeRollout returns the state of a plan's jobs and replicas. It assumes that routers are outdated and that the new
// version receives traffic; addRouterObservations replaces this by the state of the routers once the leader has
// reconciled.
func (l *leader) observeRollout(active *activeRollout, r *rollout.Record) *rollout.Observation {
	c := l.core
	o := &rollout.Observation{
		NowMS:              c.now.WallMS,
		ClockErrorMS:       c.maxClockError().Milliseconds(),
		Reconciled:         active.reconciled,
		Jobs:               map[string]rollout.Job{},
		Revalidated:        active.validations.NewValidatedSince(active.phaseSince, c.now.Steady),
		FailedCheck:        active.validations.FailedCheck(),
		NewReceivesTraffic: true,
		RoutersOutdated:    true,
	}
	for _, id := range r.Plan.Old.Jobs {
		o.Jobs[id] = l.observeRolloutJob(&r.Plan, id, true)
	}
	for _, id := range r.Plan.New.Jobs {
		o.Jobs[id] = l.observeRolloutJob(&r.Plan, id, false)
	}
	for _, s := range active.validations.States(c.now.Steady) {
		j := o.Jobs[s.Replica.Job]
		j.Running++
		if s.Validated {
			j.Validated++
		}
		o.Jobs[s.Replica.Job] = j
	}
	return o
}

// observeRolloutJob returns the state of a job. A job that was accepted and no longer exists has ended; old jobs
// are known to have been accepted.
func (l *leader) observeRolloutJob(plan *rollout.Plan, id string, wasAccepted bool) rollout.Job {
	cached := l.core.cache.Job(id)
	if cached == nil {
		_, ended := l.core.cache.FinalState(id)
		hasEnded := wasAccepted || ended
		return rollout.Job{Accepted: hasEnded, Cancelled: hasEnded, Ended: hasEnded}
	}
	if !planMatchesJob(plan, cached.Spec) {
		return rollout.Job{}
	}
	return rollout.Job{Accepted: true, Cancelled: cached.CancelledMS != 0, Replicas: cached.Spec.Tasks}
}

// mayRoute reports whether enough is known to compute a routing. A rollback does not wait for validations once enough
// replicas of the old version run: the sooner traffic returns to them, the fewer wrong answers are served.
func (active *activeRollout) mayRoute(r *rollout.Record, o *rollout.Observation) bool {
	return active.reconciled || r.Phase == rollout.RollingBack && r.Plan.OldCapacityRunning(o)
}

// updateRouting recomputes a plan's routing from the validations of its replicas, and increments the revision if it
// changes.
func (active *activeRollout) updateRouting(c *Core, r *rollout.Record, o *rollout.Observation) {
	capacity := r.Plan.CapacityOf(o)
	if !active.reconciled {
		capacity.New = 0 // route to the old version, which runs although it is not validated yet
	}
	routing := rollout.ComputeRouting(r, capacity, active.validations.States(c.now.Steady))
	routing.Generation = active.routing.Generation
	if routing.Generation.Revision > 0 && routing.SameWeights(&active.routing) {
		return
	}
	routing.Generation.Revision++
	active.routing = routing
	c.log(Debug, "rollout routing updated", "plan", active.name, "term", routing.Generation.Term, "revision", routing.Generation.Revision,
		"replicas", len(routing.Weights), "target_share", r.TargetShare(), "old_capacity", capacity.Old, "new_capacity", capacity.New)
}

// probeReplicas sends the probes that are due. Replicas of the new version also have to pass the plan's checks.
func (l *leader) probeReplicas(active *activeRollout, record *rollout.Record) {
	m := l.rollouts
	for _, probe := range active.validations.DueProbes(l.core.now.Steady, l.core.maxReplicaProbes()-m.probesInFlight) {
		m.probesInFlight++
		id := l.registerCall(func(r Result) {
			m.probesInFlight--
			if r.Outcome == outcome.Dropped {
				active.validations.ProbeNotSent(probe.Replica)
				return
			}
			active.validations.RecordResult(probe.Replica, r.Probe, l.core.now.Steady)
			if r.Probe.Verdict != rollout.Passed {
				l.core.log(Debug, "replica not validated", "plan", active.name, "task", probe.Replica.Task, "verdict", r.Probe.Verdict.String(),
					"check", r.Probe.Check)
			}
		})
		effect := ProbeReplica{CallID: id, Probe: probe, Timeout: l.core.probeTimeout()}
		if probe.Replica.Version == rollout.NewVersion {
			effect.Checks = record.Checks()
		}
		l.core.emit(effect)
	}
}
