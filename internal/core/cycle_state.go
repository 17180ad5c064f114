package core

import (
	"slices"
	"time"

	"bitternwing/internal/capacity"
	"bitternwing/internal/config"
	"bitternwing/internal/wire"
)

// cycleState is what the scheduling cycle reaches of the leader: the jobs that are to run and what becomes of their tasks.
// It reaches neither the store nor workers nor the cloud: what a cycle decides is written by the writer, and sent only
// once it is written.
type cycleState interface {
	// jobsToRun gives the jobs in the order of their submission.
	jobsToRun() []*job
	// nextTask gives the lowest task from a number on that is neither done nor placed; -1 if there is none.
	nextTask(j *job, from int) int
	// assignAttempt gives the number of a task's next attempt, and withdrawAttempt takes the last one back.
	assignAttempt(j *job, task int) uint64
	withdrawAttempt(p *placement)
	// persist has the placement of a task written.
	persist(j *job, task int)
	// avoidsMachine tells whether a job should rather not be tried on a machine again.
	avoidsMachine(j *job, m *machine) bool
	// updateCapacityIndex updates a machine in the index after a change of its free resources.
	updateCapacityIndex(h *schedulableMachine)
	// endPlacement ends a placement of which nothing was sent.
	endPlacement(p *placement)
	// dispatch has commands sent to a machine at once.
	dispatch(m *machine)
	// logPreempted logs that a task is stopped for a job.
	logPreempted(p *placement, by *job)
}

// cycleParams are the time, the settings and the rest of what a scheduling cycle decides by. None of it changes during
// the cycle.
type cycleParams struct {
	now              time.Duration // on the steady clock
	wallMS           int64         // Unix time in milliseconds
	objectives       []config.Objective
	spread           config.Spread
	lossDetection    time.Duration // after which the loss of a machine is noticed for certain
	resumeFrom       *job          // where the last cycle ran out of its budget; nil: it did not
	fleet            fleetView
	evaluationBudget int
}

// lossDetectionLeases is after how many leases of workers a machine's loss is noticed for certain.
const lossDetectionLeases = 1.1

func (l *leader) cycleParams(evaluationBudget int) cycleParams {
	c := l.core
	return cycleParams{
		now:              c.now.Steady,
		wallMS:           c.now.WallMS,
		objectives:       c.settings.Params.Objectives,
		spread:           c.operator.Spread,
		lossDetection:    time.Duration(lossDetectionLeases * float64(c.times.lease)),
		resumeFrom:       l.cycles.resumeFrom,
		fleet:            l.fleet(),
		evaluationBudget: evaluationBudget,
	}
}

func (l *leader) jobsToRun() []*job { return l.queue }

func (l *leader) nextTask(j *job, from int) int { return l.records.nextTask(j, from) }

func (l *leader) assignAttempt(j *job, task int) uint64 { return l.records.nextAttempt(j, task) }

func (l *leader) withdrawAttempt(p *placement) { l.records.withdrawAttempt(p) }

// refreshCapacityIndex brings the capacity index up to date for a cycle.
func (l *leader) refreshCapacityIndex() { l.schedulable.refresh(l.machinesByName) }

func (l *leader) updateCapacityIndex(changed *schedulableMachine) { l.schedulable.update(changed) }

func (l *leader) avoidsMachine(j *job, m *machine) bool { return l.failures.avoids(j, m) }

func (l *leader) persist(j *job, task int) { l.records.markDirty(l.records.chunkOf(j, task)) }

func (l *leader) dispatch(m *machine) { l.dispatcher.enqueue(m) }

func (l *leader) logPreempted(p *placement, by *job) {
	l.core.log(Debug, "task preempted", "task", p.name(), "for", by.id)
}

// fleetView is the machines that may be given tasks, and the machine types.
type fleetView struct {
	catalog []wire.MachineType
	index   *capacity.Index[*schedulableMachine]
}

func (l *leader) fleet() fleetView {
	return fleetView{catalog: l.core.catalog.types, index: l.schedulable.index}
}

// machineType gives a type by name; nil if there is none.
func (f fleetView) machineType(name string) *wire.MachineType {
	for i := range f.catalog {
		if f.catalog[i].Name == name {
			return &f.catalog[i]
		}
	}
	return nil
}

// coldStartSeconds is how long a job's image takes to fetch on a machine of a type that fetches nothing else.
func (f fleetView) coldStartSeconds(j *job, typeName string) float64 {
	if machineType := f.machineType(typeName); machineType != nil && machineType.FetchGBPerS > 0 {
		return j.spec.ImageGB / machineType.FetchGBPerS
	}
	return 0
}

// slowestImageFetch is the longest that a job's image takes to fetch on any machine type that the job may run on.
func (f fleetView) slowestImageFetch(j *job) time.Duration {
	slowest := 0.0
	for i := range f.catalog {
		if typeName := f.catalog[i].Name; allowsType(j.spec, typeName) {
			slowest = max(slowest, f.coldStartSeconds(j, typeName))
		}
	}
	return config.Seconds(slowest)
}

// zonesFor gives the zones that have machines on which a job may run.
func (f fleetView) zonesFor(j *job) []string {
	var zones []string
	for _, group := range f.index.Groups() {
		if (group.Spot && !j.spec.Spot) || !allowsType(j.spec, group.Type) {
			continue
		}
		if (j.spec.Zone == "" || j.spec.Zone == group.Zone) && !slices.Contains(zones, group.Zone) {
			zones = append(zones, group.Zone)
		}
	}
	return zones
}
