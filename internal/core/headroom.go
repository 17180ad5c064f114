package core

import (
	"math"
	"sort"
)

// Headroom is the amount of GPUs on on-demand machines that is kept available for future services, so that they need
// not wait for a machine to boot.

// requiredHeadroom returns the headroom to keep in GPUs: a share of the GPUs of all services, and at least those of the
// largest service.
func (p *capacityPlanner) requiredHeadroom() float64 {
	inUse, largest := 0.0, 0.0
	for _, j := range p.cycle.state.queuedJobs() {
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

// headroom returns the GPUs that services could get: free ones, those of upcoming machines, and half of those held by
// elastic jobs above their minimum, which have to stop first. It stops adding machines once the sum reaches the limit.
func (p *capacityPlanner) headroom(limit float64) float64 {
	sum := 0.0
	for _, m := range p.upcoming {
		if !m.Spot {
			sum += max(0, m.free.GPUs)
		}
	}
	for _, m := range p.machines {
		if sum >= limit {
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

// maxHeadroomMachines is the maximum number of machines planned for headroom in one plan.
const maxHeadroomMachines = 4

// ensureHeadroom plans machines for missing headroom.
func (p *capacityPlanner) ensureHeadroom() {
	required := p.requiredHeadroom()
	for i := 0; i < maxHeadroomMachines && p.headroom(required) < required; i++ {
		j := p.typicalService()
		if j == nil {
			return
		}
		if m, _ := p.planMachine(j, false); m == nil {
			return
		}
	}
}

// typicalService returns the most recent service without zone constraints, which determines the machine type for
// headroom; nil if there is none.
func (p *capacityPlanner) typicalService() *job {
	var latest *job
	for _, j := range p.cycle.state.queuedJobs() {
		if !j.isArray() && !j.cancelled && j.team != nil && !j.spec.SpreadZones && !j.spec.SingleZone {
			latest = j
		}
	}
	return latest
}

// surplusMachines returns the idle machines to release. On-demand machines that are needed for headroom are kept.
// Machines with the smallest image cache contents go first, since the other caches are more likely to hold the image of
// the next service.
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
	spareGPUs := p.headroom(math.Inf(1)) - p.requiredHeadroom()
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
