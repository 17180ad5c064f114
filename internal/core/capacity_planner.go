package core

import (
	"maps"
	"math"
	"sort"
	"time"

	"bitternwing/internal/capacity"
	"bitternwing/internal/config"
	"bitternwing/internal/resource"
	"bitternwing/internal/wire"
)

// capacityPlan is what the fleet lacks and what it has too much of. The provisioner carries it out.
type capacityPlan struct {
	scaleOut []scaleOutDemand
	scaleIn  []*machine
}

// scaleOutDemand is a number of machines of a group that are missing.
type scaleOutDemand struct {
	capacity.Group
	count int
}

// plannerInput is what a capacity plan is made from, besides the scheduling cycle that found unmet demand.
type plannerInput struct {
	machines []*machine         // all, by name
	pending  []*scaleOutRequest // sent to the cloud and not answered yet
	// unavailable tells for which groups no machines are to be requested now.
	unavailable func(capacity.Group) bool
	overloaded  bool    // this node could not answer more machines
	spareShare  float64 // of what services use, to be kept free for more of them
	idleBoots   float64 // how long an idle machine is kept, in times of its boot
}

// capacityPlanner plans how many machines to scale out, by first-fit bin packing of the unmet demand into those that are
// to come, and which idle ones to scale in. It reaches neither the cloud nor the store.
type capacityPlanner struct {
	plannerInput
	cycle                *schedulingCycle
	upcoming             []*plannedMachine
	machinesByGroup      map[capacity.Group]int // those that there are, and those to come
	zonesByJob           map[*job]map[string]int
	pendingArrayMachines float64 // what is left of array work that is not worth a machine yet, in machines
}

// plannedMachine is a machine to come: booting, requested, or planned.
type plannedMachine struct {
	capacity.Group
	machineType *wire.MachineType
	free        resource.Amount
	unrequested bool
}

func newPlannedMachine(group capacity.Group, machineType *wire.MachineType) *plannedMachine {
	return &plannedMachine{Group: group, machineType: machineType, free: resource.OfMachine(machineType)}
}

// planCapacity scales the fleet out and in after a scheduling cycle.
func (l *leader) planCapacity(cycle *schedulingCycle) {
	t := &l.provisioner
	if !t.reconciled() {
		return
	}
	t.dropUnsentRequests()
	planner := newCapacityPlanner(cycle, plannerInput{
		machines:    l.machinesByName,
		pending:     t.requests,
		unavailable: t.unavailable,
		overloaded:  l.core.overloaded(),
		spareShare:  l.core.operator.SpareShare,
		idleBoots:   l.core.operator.IdleTimeoutBoots,
	})
	t.apply(planner.plan())
}

func newCapacityPlanner(cycle *schedulingCycle, input plannerInput) *capacityPlanner {
	p := &capacityPlanner{plannerInput: input, cycle: cycle, machinesByGroup: map[capacity.Group]int{}, zonesByJob: map[*job]map[string]int{}}
	p.addBooting()
	p.addPending()
	return p
}

// overdueBoots is after how many times its boot time a machine is not counted on any more: what it should have taken is
// not left waiting for it.
const overdueBoots = 1.5

// addBooting counts the machines that there are, and packs into those that have yet to send a first heartbeat.
func (p *capacityPlanner) addBooting() {
	for _, m := range p.machines {
		if m.machineType == nil || m.releasing {
			continue
		}
		p.machinesByGroup[m.group()]++
		overdue := p.cycle.params.now-m.requestedAt >= config.Seconds(overdueBoots*m.machineType.BootS)
		if !m.reported && !m.everReported && !overdue {
			p.upcoming = append(p.upcoming, newPlannedMachine(m.group(), m.machineType))
		}
	}
}

// addPending counts the machines that were requested.
func (p *capacityPlanner) addPending() {
	for _, request := range p.pending {
		machineType := p.cycle.params.fleet.machineType(request.Type)
		if machineType == nil {
			continue
		}
		for range request.count {
			p.machinesByGroup[request.Group]++
			p.upcoming = append(p.upcoming, newPlannedMachine(request.Group, machineType))
		}
	}
}

// plan packs all that found no machine, and makes a plan of what is missing then.
func (p *capacityPlanner) plan() capacityPlan {
	counted := map[*job]int{}
	for _, demand := range p.cycle.unmetDemand {
		counted[demand.job] += demand.tasks
		p.packDemand(demand)
	}
	for _, j := range p.cycle.state.jobsToRun() {
		if j.isArray() && p.cycle.schedulable(j) {
			p.planArray(j, j.unplaced()-counted[j])
		}
	}
	p.ensureHeadroom()
	return capacityPlan{scaleOut: p.unrequested(), scaleIn: p.surplusMachines()}
}

// packDemand packs the tasks of an unmet demand, as far as there are machine types for them.
func (p *capacityPlanner) packDemand(demand unmetDemand) {
	for range demand.tasks {
		if !p.pack(demand.job, demand.job.spec.Spot) && !p.pack(demand.job, false) {
			return
		}
	}
}

// pack packs a task into the first machine to come that holds it, and plans one if there is none.
func (p *capacityPlanner) pack(j *job, spot bool) bool {
	p.cycle.evaluations -= len(p.upcoming) / checksPerEvaluation
	for _, m := range p.upcoming {
		if p.fits(j, m) {
			p.assign(m, j)
			return true
		}
	}
	m := p.planMachine(j, spot)
	if m == nil {
		return false
	}
	p.assign(m, j)
	return true
}

func (p *capacityPlanner) fits(j *job, m *plannedMachine) bool {
	return m.free.Covers(resource.OfTask(j.spec)) && p.mayRunOn(j, m.Group)
}

func (p *capacityPlanner) assign(m *plannedMachine, j *job) {
	m.free.Subtract(resource.OfTask(j.spec))
	p.zonesOf(j)[m.Zone]++
}

// zonesOf counts a job's tasks by zone: those that are placed, and those that were packed.
func (p *capacityPlanner) zonesOf(j *job) map[string]int {
	zones := p.zonesByJob[j]
	if zones == nil {
		zones = maps.Clone(j.placementsByZone)
		p.zonesByJob[j] = zones
	}
	return zones
}

// mayRunOn tells whether a job's next task may run on machines of a group, given where its other tasks are or will be.
func (p *capacityPlanner) mayRunOn(j *job, group capacity.Group) bool {
	s := j.spec
	if group.Spot && !s.Spot || s.Zone != "" && s.Zone != group.Zone || !allowsType(s, group.Type) {
		return false
	}
	if !s.SingleZone && !s.SpreadZones {
		return true
	}
	zones := p.zonesOf(j)
	if s.SingleZone && len(zones) > 0 && zones[group.Zone] == 0 {
		return false
	}
	return !s.SpreadZones || zones[group.Zone] < (s.Tasks+1)/2
}

// planMachine plans a new machine for a task: of the machine type that holds it at the lowest price per GPU, in the zone
// with the fewest machines of that group; nil if there is none.
func (p *capacityPlanner) planMachine(j *job, spot bool) *plannedMachine {
	if p.overloaded {
		return nil
	}
	var best *plannedMachine
	bestPrice, bestCount := math.Inf(1), 0
	catalog := p.cycle.params.fleet.catalog
	for i := range catalog {
		machineType := &catalog[i]
		if !resource.OfMachine(machineType).Covers(resource.OfTask(j.spec)) {
			continue
		}
		price := pricePerGPU(machineType, spot)
		for _, zone := range machineType.Zones {
			group := capacity.Group{Type: machineType.Name, Zone: zone, Spot: spot}
			if p.unavailable(group) || !p.mayRunOn(j, group) {
				continue
			}
			count := p.machinesByGroup[group]
			if price < bestPrice || price == bestPrice && count < bestCount {
				best, bestPrice, bestCount = newPlannedMachine(group, machineType), price, count
			}
		}
	}
	if best == nil {
		return nil
	}
	best.unrequested = true
	p.machinesByGroup[best.Group]++
	p.upcoming = append(p.upcoming, best)
	return best
}

// pricePerGPU is a machine type's price for each GPU, or for all of it if it has none.
func pricePerGPU(machineType *wire.MachineType, spot bool) float64 {
	price := machineType.Price
	if spot {
		price = machineType.SpotPrice
	}
	return price / max(1, machineType.GPUs)
}

// undoLastMachine takes back the machine that was planned last.
func (p *capacityPlanner) undoLastMachine(m *plannedMachine) {
	p.upcoming = p.upcoming[:len(p.upcoming)-1]
	p.machinesByGroup[m.Group]--
}

// planArray plans machines for so many more tasks of an array. A machine costs its boot time before it is of use, so one
// is requested only for about as much work as that.
func (p *capacityPlanner) planArray(j *job, tasks int) {
	if used := p.cycle.usage.Of(j.spec.Team); j.team.MaxGPUs > 0 && j.spec.GPUs > 0 {
		tasks = min(tasks, int((j.team.MaxGPUs-used.GPUs)/j.spec.GPUs))
	}
	for i := 0; tasks > 0 && i < len(p.upcoming); i++ {
		tasks -= p.fill(p.upcoming[i], j, tasks)
	}
	for _, spot := range []bool{true, false} {
		if spot && !j.spec.Spot {
			continue
		}
		for tasks > 0 {
			m := p.planMachine(j, spot)
			if m == nil {
				break
			}
			tasks -= p.fillNew(m, j, tasks)
			if !p.worthMachine(j, m) {
				p.undoLastMachine(m)
				return
			}
		}
	}
}

// fill packs up to so many tasks of a job into a machine, and gives how many.
func (p *capacityPlanner) fill(m *plannedMachine, j *job, tasks int) int {
	packed := 0
	for packed < tasks && p.fits(j, m) {
		p.assign(m, j)
		packed++
	}
	return packed
}

// fillNew packs up to so many tasks of a job into a machine that was planned for it, and gives how many. The zone was
// checked for the first of them only (planMachine); the scheduling cycle does it again for each.
func (p *capacityPlanner) fillNew(m *plannedMachine, j *job, tasks int) int {
	packed := 0
	for packed < tasks && m.free.Covers(resource.OfTask(j.spec)) {
		p.assign(m, j)
		packed++
	}
	return packed
}

// minMachineWork is the work of arrays, in boot times of a machine, from which on another machine is worth it.
const minMachineWork = 0.5

// worthMachine tells whether the work of arrays so far, with that of a job on a new machine, is worth that machine.
func (p *capacityPlanner) worthMachine(j *job, m *plannedMachine) bool {
	share := 1 - m.free.GPUs/max(1, m.machineType.GPUs)
	work := share * max(j.spec.EstimatedRunS, 1) / m.machineType.BootS
	p.pendingArrayMachines += work
	if !m.Spot && j.spec.Spot {
		// An on-demand machine in place of a spot one has to be worth more.
		p.pendingArrayMachines -= work * (1 - m.machineType.SpotPrice/m.machineType.Price)
	}
	if p.pendingArrayMachines < minMachineWork {
		return false
	}
	p.pendingArrayMachines--
	return true
}

// unrequested counts the planned machines by group. What is missing most goes first where the cloud's rate limit makes
// the rest wait.
func (p *capacityPlanner) unrequested() []scaleOutDemand {
	var demands []scaleOutDemand
	indexes := map[capacity.Group]int{}
	for _, m := range p.upcoming {
		if !m.unrequested {
			continue
		}
		i, known := indexes[m.Group]
		if !known {
			i = len(demands)
			indexes[m.Group] = i
			demands = append(demands, scaleOutDemand{Group: m.Group})
		}
		demands[i].count++
	}
	sort.SliceStable(demands, func(a, b int) bool { return demands[a].count > demands[b].count })
	return demands
}

// idleLongEnough tells whether a machine has been idle for as long as it is kept: for about as long as another one takes
// to boot.
func (p *capacityPlanner) idleLongEnough(m *machine, now time.Duration) bool {
	if m.schedulable == nil || len(m.placementsInOrder) > 0 || len(m.orphanedTasks) > 0 || m.releasing {
		return false
	}
	return now >= m.idleSince+config.Seconds(m.machineType.BootS*p.idleBoots)
}
