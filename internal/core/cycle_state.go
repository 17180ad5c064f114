package core

import (
	"slices"
	"time"

	"bitternwing/internal/capacity"
	"bitternwing/internal/config"
)

// cycleState is the part of the leader that a scheduling cycle uses: the jobs to run, and operations on their
// placements. It provides no access to the store, the workers or the cloud. The writer persists the decisions of a
// cycle, and commands are sent only after that.
type cycleState interface {
	// queuedJobs returns the queued jobs in queue order.
	queuedJobs() []*job
	// nextTask returns the lowest task number, starting at from, that is neither done nor placed; -1 if there is none.
	nextTask(j *job, from int) int
	// assignAttempt returns the number of the next attempt at a task, and withdrawAttempt frees that number again.
	assignAttempt(j *job, task int) uint64
	withdrawAttempt(p *placement)
	// persist schedules the record of a task to be written.
	persist(j *job, task int)
	// avoidsMachine reports whether a job should not be tried again on a machine because of earlier failures.
	avoidsMachine(j *job, m *machine) bool
	// fleetSize returns the number of machines that exist or are requested, by class.
	fleetSize() map[machineClass]int
	// updateCapacityIndex updates a machine in the capacity index after a change of its free resources.
	updateCapacityIndex(changed *schedulableMachine)
	// endPlacement ends a placement for which no command was sent.
	endPlacement(p *placement)
	// dispatch schedules commands to be sent to a machine at once.
	dispatch(m *machine)
	// logPreempted logs that a task is preempted for a job.
	logPreempted(p *placement, by *job)
}

// cycleParams are the time, the settings and the fleet of a scheduling cycle. They are constant during the cycle.
type cycleParams struct {
	now              time.Duration // monotonic time
	wallMS           int64         // Unix time in milliseconds
	objectives       []config.Objective
	spread           config.Spread
	lossDetection    time.Duration // time within which the loss of a machine is certain to be detected
	resumeFrom       *job          // job at which the previous cycle ran out of budget; nil if it completed
	fleet            fleetView
	evaluationBudget int // evaluations that the rate allows now
	maxEvaluations   int // evaluations that may be made in one step, even if that exceeds the budget
}

// lossDetectionLeases is the time, in worker leases, within which the loss of a machine is certain to be detected.
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
		maxEvaluations:   max(evaluationBudget, l.maxCycleEvaluations()),
	}
}

func (l *leader) queuedJobs() []*job { return l.queue }

func (l *leader) nextTask(j *job, from int) int { return l.records.nextTask(j, from) }

func (l *leader) assignAttempt(j *job, task int) uint64 { return l.records.nextAttempt(j, task) }

func (l *leader) withdrawAttempt(p *placement) { l.records.withdrawAttempt(p) }

// refreshCapacityIndex brings the capacity index up to date before a cycle.
func (l *leader) refreshCapacityIndex() { l.schedulable.refresh(l.machinesByName) }

func (l *leader) updateCapacityIndex(changed *schedulableMachine) { l.schedulable.update(changed) }

func (l *leader) avoidsMachine(j *job, m *machine) bool { return l.failures.avoids(j, m) }

func (l *leader) persist(j *job, task int) { l.records.markDirty(l.records.chunkOf(j, task)) }

func (l *leader) dispatch(m *machine) { l.dispatcher.enqueue(m) }

func (l *leader) logPreempted(p *placement, by *job) {
	l.core.log(Debug, "task preempted", "task", p.name(), "preempted_by", by.id)
}

// fleetView is the catalog of machine types and the index of the machines that may be given tasks.
type fleetView struct {
	catalog machineTypes
	index   *capacity.Index[*schedulableMachine]
}

func (l *leader) fleet() fleetView {
	return fleetView{catalog: l.core.catalog.types, index: l.schedulable.index}
}

// imageFetchSeconds returns how long a machine of the given type takes to fetch a job's image if it fetches nothing
// else.
func (f fleetView) imageFetchSeconds(j *job, typeName string) float64 {
	if machineType := f.catalog.byName(typeName); machineType != nil && machineType.FetchGBPerS > 0 {
		return j.spec.ImageGB / machineType.FetchGBPerS
	}
	return 0
}

// maxImageFetchTime returns the longest time that a job's image takes to fetch on any machine type that the job may
// use.
func (f fleetView) maxImageFetchTime(j *job) time.Duration {
	slowest := 0.0
	for i := range f.catalog {
		if typeName := f.catalog[i].Name; allowsType(j.spec, typeName) {
			slowest = max(slowest, f.imageFetchSeconds(j, typeName))
		}
	}
	return config.Seconds(slowest)
}

// zonesFor returns the zones that have machines on which a job may run.
func (f fleetView) zonesFor(j *job) []string {
	var zones []string
	for _, group := range f.index.Groups() {
		if j.allowsGroup(group) && !slices.Contains(zones, group.Zone) {
			zones = append(zones, group.Zone)
		}
	}
	return zones
}
