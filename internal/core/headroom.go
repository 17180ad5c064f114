package core

import (
	"math"
	"sort"
)

// Headroom is the GPUs on on-demand machines that are kept available for services to come, so that these need not wait for
// a machine to boot.

// headroomWanted is the headroom to keep: a share of what services use, and enough for the largest of them.
func (p *capacityPlanner) headroomWanted() float64 {
	inUse, largest := 0.0, 0.0
	for _, j := range p.cycle.state.jobsToRun() {
		if !j.isArray() && !j.cancelled {
			gpus := float64(j.spec.Tasks) * j.spec.GPUs
			inUse += gpus
			largest = max(largest, gpus)
		}
	}
	if inUse == 0 || p.spareShare == 0 {
		return 0
	}
	return max(largest, inUse*p.spareShare)
}

// headroom is what services could have: free, to come, or held by elastic jobs above their minimum (half of it, since
// those have to stop first). It is added up no further than to an amount that is enough.
func (p *capacityPlanner) headroom(enough float64) float64 {
	sum := 0.0
	for _, m := range p.upcoming {
		if !m.Spot {
			sum += max(0, m.free.GPUs)
		}
	}
	for _, m := range p.machines {
		if sum >= enough {
			break
		}
		if m.schedulable != nil && !m.spot {
			sum += headroomOn(m.schedulable)
		}
	}
	return sum
}

func headroomOn(target *schedulableMachine) float64 {
	sum := max(0, target.free.GPUs)
	for _, p := range target.machine.placementsInOrder {
		if p.job.shrinkable() {
			sum += p.job.spec.GPUs / 2
		}
	}
	return sum
}

// maxHeadroomMachines is how many machines are planned for headroom at a time.
const maxHeadroomMachines = 4

// ensureHeadroom plans machines for the headroom that is missing.
func (p *capacityPlanner) ensureHeadroom() {
	wanted := p.headroomWanted()
	for i := 0; i < maxHeadroomMachines && p.headroom(wanted) < wanted; i++ {
		j := p.typicalService()
		if j == nil || p.planMachine(j, false) == nil {
			return
		}
	}
}

// typicalService gives the latest service that may run in any zone, for the choice of a machine type; nil if there is
// none.
func (p *capacityPlanner) typicalService() *job {
	var latest *job
	for _, j := range p.cycle.state.jobsToRun() {
		if !j.isArray() && !j.cancelled && j.team != nil && !j.spec.SpreadZones && !j.spec.SingleZone {
			latest = j
		}
	}
	return latest
}

// surplusMachines gives the idle machines to scale in. On-demand ones are kept as far as they are the headroom. Those with
// the least in their image caches go first, since what the next service needs may be in the others'.
func (p *capacityPlanner) surplusMachines() []*machine {
	var idle, surplus []*machine
	for _, m := range p.machines {
		if p.idleLongEnough(m, p.cycle.params.now) {
			idle = append(idle, m)
		}
	}
	if len(idle) == 0 {
		return nil
	}
	spareGPUs := p.headroom(math.Inf(1)) - p.headroomWanted()
	sort.SliceStable(idle, func(a, b int) bool { return idle[a].images.readyGB() < idle[b].images.readyGB() })
	for _, m := range idle {
		if !m.spot {
			if spareGPUs < m.machineType.GPUs {
				continue
			}
			spareGPUs -= m.machineType.GPUs
		}
		surplus = append(surplus, m)
	}
	return surplus
}
