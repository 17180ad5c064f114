package core

import (
	"math"
	"sort"
	"time"

	"bitternwing/internal/capacity"
	"bitternwing/internal/config"
	"bitternwing/internal/resource"
	"bitternwing/internal/wire"
)

// capacityPlan lists the machines to request and those to release. The provisioner carries it out.
type capacityPlan struct {
	scaleOut []scaleOutDemand
	scaleIn  []*machine
	// resumeFrom is the number of the demand with which the next plan begins.
	resumeFrom int
}

// scaleOutDemand is a number of missing machines of a group.
type scaleOutDemand struct {
	capacity.Group
	count int
}

// plannerInput is the input of the planner in addition to the unmet demand of a scheduling cycle.
type plannerInput struct {
	machines []*machine         // all machines, by name
	pending  []*scaleOutRequest // sent to the cloud, without a result yet
	// unavailable reports whether machines of a group must not be requested now.
	unavailable func(capacity.Group) bool
	overloaded  bool    // this node could not handle the heartbeats of more machines
	spareShare  float64 // headroom to keep, as a share of the GPUs of services
	idleBoots   float64 // how long an idle machine is kept, in boot times
	checks      int     // how many checks of machines and machine types the plan may make
	resumeFrom  int     // number of the demand with which the plan begins
}

// capacityPlanner decides how many machines to request, by first-fit bin packing of the unmet demand into upcoming
// machines, and which idle machines to release. It uses neither the cloud nor the store.
//
// Its work depends on the number of machines and of jobs, not on the number of their tasks: the tasks of a job are
// packed together, and no more machines of a group are planned than may be requested at a time.
type capacityPlanner struct {
	plannerInput
	cycle                 *schedulingCycle
	upcoming              []*plannedMachine
	machinesByGroup       map[capacity.Group]int // existing and upcoming machines
	requestedByGroup      map[capacity.Group]int // machines requested or planned, without a result yet
	zonesByJob            map[*job]map[string]int
	pendingArrayWorkBoots float64 // array work for which no machine is planned yet, in boot times of a machine
	// fullBefore is the number of upcoming machines, from the first, that hold no further task of a request.
	fullBefore map[resourceRequest]int
	checksLeft int
}

// plannedMachine is an upcoming machine: booting, requested or planned.
type plannedMachine struct {
	capacity.Group
	machineType *wire.MachineType
	free        resource.Amount
	unrequested bool // planned in this cycle and not requested yet
}

func newPlannedMachine(group capacity.Group, machineType *wire.MachineType) *plannedMachine {
	return &plannedMachine{Group: group, machineType: machineType, free: resource.OfMachine(machineType)}
}

// planCapacity plans and starts scale-out and scale-in after a scheduling cycle.
func (l *leader) planCapacity(cycle *schedulingCycle) {
	p := &l.provisioner
	if !p.fleetKnown() {
		return
	}
	p.dropUnsentRequests()
	planner := newCapacityPlanner(cycle, plannerInput{
		machines:    l.machinesByName,
		pending:     p.requests,
		unavailable: p.unavailable,
		overloaded:  l.core.overloaded(),
		spareShare:  l.core.operator.SpareShare,
		idleBoots:   l.core.operator.IdleTimeoutBoots,
		checks:      l.maxCycleEvaluations() * checksPerEvaluation,
		resumeFrom:  l.cycles.planFrom,
	})
	plan := planner.plan()
	l.cycles.planFrom = plan.resumeFrom
	p.applyPlan(plan)
}

func newCapacityPlanner(cycle *schedulingCycle, input plannerInput) *capacityPlanner {
	p := &capacityPlanner{
		plannerInput:     input,
		cycle:            cycle,
		machinesByGroup:  map[capacity.Group]int{},
		requestedByGroup: map[capacity.Group]int{},
		zonesByJob:       map[*job]map[string]int{},
		fullBefore:       map[resourceRequest]int{},
		checksLeft:       input.checks,
	}
	p.addBooting()
	p.addPending()
	return p
}

// overdueBoots is how long after its request, in boot times, a machine without a heartbeat counts as upcoming. Tasks do
// not wait for it any longer.
const overdueBoots = 1.5

// addBooting counts the existing machines by group, and adds those that have not sent a heartbeat yet to the upcoming
// ones.
func (p *capacityPlanner) addBooting() {
	for _, m := range p.machines {
		if m.machineType == nil || m.releasing {
			continue
		}
		p.machinesByGroup[m.group()]++
		overdue := p.cycle.params.now-m.requestedAt >= config.Seconds(overdueBoots*m.machineType.BootS)
		if !m.reportedInTerm && !m.everReported && !overdue {
			p.upcoming = append(p.upcoming, newPlannedMachine(m.group(), m.machineType))
		}
	}
}

// addPending adds the requested machines to the upcoming ones.
func (p *capacityPlanner) addPending() {
	for _, request := range p.pending {
		machineType := p.cycle.params.fleet.catalog.byName(request.Type)
		if machineType == nil {
			continue
		}
		for range request.count {
			p.addRequested(newPlannedMachine(request.Group, machineType))
		}
	}
}

// addRequested adds a machine that is requested or planned to the upcoming ones.
func (p *capacityPlanner) addRequested(m *plannedMachine) {
	p.machinesByGroup[m.Group]++
	p.requestedByGroup[m.Group]++
	p.upcoming = append(p.upcoming, m)
}

// plan packs the unmet demand into upcoming machines, and returns a plan for the machines that are still missing and
// those that are surplus. If its checks run out, the next plan begins with the demand that this one did not come to.
func (p *capacityPlanner) plan() capacityPlan {
	demands := p.demandsInTurn()
	considered := 0
	for ; considered < len(demands) && p.checksLeft > 0; considered++ {
		p.packDemand(demands[considered])
	}
	p.ensureHeadroom()
	plan := capacityPlan{scaleOut: p.scaleOutDemands(), scaleIn: p.surplusMachines()}
	if considered < len(demands) {
		plan.resumeFrom = (p.resumeFrom + considered) % len(demands)
	}
	p.cycle.evaluationsLeft -= p.cycle.work.MachineChecks / checksPerEvaluation
	return plan
}

// planMachine plans a new machine for a task. It takes the machine type with the lowest price per GPU that can hold the
// task, in the zone with the fewest machines of the group. It returns nil if there is none. If as many machines of a
// cheaper group as may be requested at a time are requested already, it returns nil and true: the task waits for the
// next plan, which may request more of them.
func (p *capacityPlanner) planMachine(j *job, spot bool) (planned *plannedMachine, wait bool) {
	if p.overloaded {
		return nil, false
	}
	var best *plannedMachine
	bestPrice, bestCount := math.Inf(1), 0
	requestedPrice := math.Inf(1)
	catalog := p.cycle.params.fleet.catalog
	for i := range catalog {
		machineType := &catalog[i]
		p.countCheck()
		if !resource.OfMachine(machineType).Covers(resource.OfTask(j.spec)) {
			continue
		}
		price := pricePerGPU(machineType, spot)
		for _, zone := range machineType.Zones {
			group := capacity.Group{Type: machineType.Name, Zone: zone, Spot: spot}
			p.countCheck()
			if p.unavailable(group) || !p.mayRunOn(j, group) {
				continue
			}
			if p.requestedByGroup[group] >= wire.MaxScaleOut {
				requestedPrice = min(requestedPrice, price)
				continue
			}
			count := p.machinesByGroup[group]
			if price < bestPrice || price == bestPrice && count < bestCount {
				best, bestPrice, bestCount = newPlannedMachine(group, machineType), price, count
			}
		}
	}
	if requestedPrice < bestPrice {
		return nil, true
	}
	if best == nil {
		return nil, false
	}
	p.addRequested(best)
	best.unrequested = true
	p.cycle.work.MachinesPlanned++
	return best, false
}

// pricePerGPU returns the price of a machine type per GPU, or its whole price if it has no GPU.
func pricePerGPU(machineType *wire.MachineType, spot bool) float64 {
	price := machineType.Price
	if spot {
		price = machineType.SpotPrice
	}
	return price / max(1, machineType.GPUs)
}

// removeLastMachine removes the machine that was planned last.
func (p *capacityPlanner) removeLastMachine(m *plannedMachine) {
	p.upcoming = p.upcoming[:len(p.upcoming)-1]
	p.machinesByGroup[m.Group]--
	p.requestedByGroup[m.Group]--
}

// scaleOutDemands returns the number of planned machines by group, the largest first, since the cloud's rate limit may
// delay the later requests.
func (p *capacityPlanner) scaleOutDemands() []scaleOutDemand {
	var demands []scaleOutDemand
	indexes := map[capacity.Group]int{}
	for _, m := range p.upcoming {
		if !m.unrequested {
			continue
		}
		i, found := indexes[m.Group]
		if !found {
			i = len(demands)
			indexes[m.Group] = i
			demands = append(demands, scaleOutDemand{Group: m.Group})
		}
		demands[i].count++
	}
	sort.SliceStable(demands, func(a, b int) bool { return demands[a].count > demands[b].count })
	return demands
}

// idleLongEnough reports whether a machine has been idle for the time that idle machines are kept, which is a multiple
// of the boot time of a replacement.
func (p *capacityPlanner) idleLongEnough(m *machine, now time.Duration) bool {
	if m.schedulable == nil || len(m.placementsInOrder) > 0 || len(m.orphanedTasks) > 0 || m.releasing {
		return false
	}
	return now >= m.idleSince+config.Seconds(m.machineType.BootS*p.idleBoots)
}
