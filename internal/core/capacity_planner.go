package core

import (
	"fmt"
	"maps"
	"math"
	"sort"

	"bitternwing/internal/capacity"
	"bitternwing/internal/config"
	"bitternwing/internal/resource"
	"bitternwing/internal/wire"
)

// plannedMachine is a machine to come: booting, asked for, or planned.
type plannedMachine struct {
	capacity.Group
	machineType *wire.MachineType
	free        resource.Amount
	unrequested bool
}

// capacityPlanner finds how many machines are missing by packing what waits into those
// that are to come.
type capacityPlanner struct {
	leader               *leader
	cycle                *schedulingCycle
	provisioner          *provisioner
	machines             []*plannedMachine
	machinesByGroup      map[capacity.Group]int
	zonesByJob           map[*job]map[string]int // where a job's tasks are or will be
	pendingArrayMachines float64                 // array work not yet worth a machine, in machines
}

// planCapacity rents and returns machines after a round.
func (l *leader) planCapacity(cycle *schedulingCycle) {
	t := &l.provisioner
	if !t.reconciled() {
		return
	}
	now := l.core.now.Steady
	t.dropUnsentRequests()
	p := &capacityPlanner{leader: l, cycle: cycle, provisioner: t, machinesByGroup: map[capacity.Group]int{}, zonesByJob: map[*job]map[string]int{}}
	for _, m := range l.machinesByName {
		if m.machineType == nil || m.releasing {
			continue
		}
		o := m.group()
		p.machinesByGroup[o]++
		// A machine overdue may never come; what it should have taken is not
		// left waiting for it.
		if !m.reported && !m.everReported && now-m.requestedAt < config.Seconds(1.5*m.machineType.BootS) {
			p.machines = append(p.machines, &plannedMachine{Group: o, machineType: m.machineType, free: resource.OfMachine(m.machineType)})
		}
	}
	for _, q := range t.requests {
		mt := l.core.machineType(q.Type)
		for i := 0; mt != nil && i < q.count; i++ {
			p.machinesByGroup[q.Group]++
			p.machines = append(p.machines, &plannedMachine{Group: q.Group, machineType: mt, free: resource.OfMachine(mt)})
		}
	}
	counted := map[*job]int{}
	for _, w := range cycle.unmetDemand {
		counted[w.job] += w.tasks
		for i := 0; i < w.tasks; i++ {
			if !p.pack(w.job, w.job.spec.Spot) && !p.pack(w.job, false) {
				break
			}
		}
	}
	for _, j := range l.queue {
		if j.isArray() && cycle.schedulable(j) {
			p.planArray(j, j.unplaced()-counted[j])
		}
	}
	p.ensureHeadroom()
	p.requestScaleOut()
	p.scaleIn()
}

// pack packs a task into a bin, opening one if need be.
func (p *capacityPlanner) pack(j *job, spot bool) bool {
	p.cycle.evaluations -= len(p.machines) / 4
	for _, b := range p.machines {
		if b.free.Holds(resource.OfTask(j.spec)) && p.mayRunOn(j, b.Group) {
			p.packInto(b, j)
			return true
		}
	}
	b := p.planMachine(j, spot)
	if b == nil {
		return false
	}
	p.packInto(b, j)
	return true
}

func (p *capacityPlanner) packInto(b *plannedMachine, j *job) {
	b.free.Take(resource.OfTask(j.spec))
	p.zonesOf(j)[b.Zone]++
}

func (p *capacityPlanner) zonesOf(j *job) map[string]int {
	z := p.zonesByJob[j]
	if z == nil {
		z = maps.Clone(j.placementsByZone)
		p.zonesByJob[j] = z
	}
	return z
}

func (p *capacityPlanner) mayRunOn(j *job, o capacity.Group) bool {
	s := j.spec
	if o.Spot && !s.Spot || s.Zone != "" && s.Zone != o.Zone || !allowsType(s, o.Type) {
		return false
	}
	if !s.SingleZone && !s.SpreadZones {
		return true
	}
	z := p.zonesOf(j)
	if s.SingleZone && len(z) > 0 && z[o.Zone] == 0 {
		return false
	}
	return !s.SpreadZones || z[o.Zone] < (s.Tasks+1)/2
}

// planMachine plans a new machine for a task: of the cheapest type that holds it, in the
// zone with the fewest machines of that kind.
func (p *capacityPlanner) planMachine(j *job, spot bool) *plannedMachine {
	l := p.leader
	if l.core.overloaded() {
		return nil // more machines would report than this node can answer
	}
	var best capacity.Group
	var bestType *wire.MachineType
	bestCost, bestCount := math.Inf(1), 0
	for i := range l.core.catalog {
		mt := &l.core.catalog[i]
		if !resource.OfMachine(mt).Holds(resource.OfTask(j.spec)) {
			continue
		}
		cost := mt.Price
		if spot {
			cost = mt.SpotPrice
		}
		cost /= max(1, mt.GPUs)
		for _, z := range mt.Zones {
			o := capacity.Group{Type: mt.Name, Zone: z, Spot: spot}
			if _, cut := l.silentZones[z]; cut || l.core.now.Steady < p.provisioner.exhausted[o] || !p.mayRunOn(j, o) {
				continue
			}
			if cost < bestCost || cost == bestCost && p.machinesByGroup[o] < bestCount {
				best, bestType, bestCost, bestCount = o, mt, cost, p.machinesByGroup[o]
			}
		}
	}
	if bestType == nil {
		return nil
	}
	p.machinesByGroup[best]++
	b := &plannedMachine{Group: best, machineType: bestType, free: resource.OfMachine(bestType), unrequested: true}
	p.machines = append(p.machines, b)
	return b
}

// planArray plans machines for an array's n further waiting tasks. A machine costs its boot time
// before it helps, so one is rented only for about as much work as that.
func (p *capacityPlanner) planArray(j *job, n int) {
	if used := p.cycle.usage.Of(j.spec.Team); j.team.MaxGPUs > 0 && j.spec.GPUs > 0 {
		n = min(n, int((j.team.MaxGPUs-used.GPUs)/j.spec.GPUs))
	}
	for i := 0; n > 0 && i < len(p.machines); i++ {
		for b := p.machines[i]; n > 0 && b.free.Holds(resource.OfTask(j.spec)) && p.mayRunOn(j, b.Group); n-- {
			p.packInto(b, j)
		}
	}
	for _, spot := range []bool{true, false} {
		if spot && !j.spec.Spot {
			continue
		}
		for n > 0 {
			b := p.planMachine(j, spot)
			if b == nil {
				break
			}
			fits := 0
			for n > 0 && b.free.Holds(resource.OfTask(j.spec)) {
				p.packInto(b, j)
				fits++
				n--
			}
			share := 1 - b.free.GPUs/max(1, b.machineType.GPUs)
			p.pendingArrayMachines += share * max(j.spec.EstimatedRunS, 1) / b.machineType.BootS
			if !spot && j.spec.Spot {
				// An ordinary machine in place of a cheap one has to be worth more.
				p.pendingArrayMachines -= share * max(j.spec.EstimatedRunS, 1) / b.machineType.BootS * (1 - b.machineType.SpotPrice/b.machineType.Price)
			}
			if p.pendingArrayMachines >= 0.5 {
				p.pendingArrayMachines -= 1
				continue
			}
			// Not worth it yet.
			p.machines = p.machines[:len(p.machines)-1]
			p.machinesByGroup[b.Group]--
			return
		}
	}
}

// headroomWanted is the room on ordinary machines to keep free for services to come.
func (p *capacityPlanner) headroomWanted() float64 {
	inUse, largest := 0.0, 0.0
	for _, j := range p.leader.queue {
		if !j.isArray() && !j.cancelled {
			all := float64(j.spec.Tasks) * j.spec.GPUs
			inUse += all
			largest = max(largest, all)
		}
	}
	if inUse == 0 || p.leader.core.operator.SpareShare == 0 {
		return 0
	}
	return max(largest, inUse*p.leader.core.operator.SpareShare)
}

// headroom is the room on ordinary machines that services could have: free, to
// come, or held by elastic jobs above their minimum (half of it, since those have
// to stop first). It is added up no further than to an amount that is enough.
func (p *capacityPlanner) headroom(enough float64) float64 {
	sum := 0.0
	for _, b := range p.machines {
		if !b.Spot {
			sum += max(0, b.free.GPUs)
		}
	}
	for _, m := range p.leader.machinesByName {
		if sum >= enough {
			break
		}
		if m.schedulable != nil && !m.spot {
			sum += p.headroomOn(m.schedulable)
		}
	}
	return sum
}

func (p *capacityPlanner) headroomOn(h *schedulableMachine) float64 {
	sum := max(0, h.free.GPUs)
	for _, x := range h.machine.placementsInOrder {
		if x.job.shrinkable() {
			sum += x.job.spec.GPUs / 2
		}
	}
	return sum
}

func (p *capacityPlanner) ensureHeadroom() {
	l := p.leader
	wanted := p.headroomWanted()
	for i := 0; i < 4 && p.headroom(wanted) < wanted; i++ {
		var any *job
		for _, j := range l.queue {
			if !j.isArray() && !j.cancelled && j.team != nil && !j.spec.SpreadZones && !j.spec.SingleZone {
				any = j
			}
		}
		if any == nil || p.planMachine(any, false) == nil {
			return
		}
	}
}

// requestScaleOut sends the new bins as requests, one for each kind and zone.
func (p *capacityPlanner) requestScaleOut() {
	c := p.leader.core
	counts := map[capacity.Group]int{}
	var kinds []capacity.Group
	for _, b := range p.machines {
		if b.unrequested {
			if counts[b.Group] == 0 {
				kinds = append(kinds, b.Group)
			}
			counts[b.Group]++
		}
	}
	// What is missing most goes first where the cloud's rate makes the rest wait.
	sort.SliceStable(kinds, func(a, b int) bool { return counts[kinds[a]] > counts[kinds[b]] })
	for _, o := range kinds {
		p.provisioner.lastRequest++
		p.provisioner.requests = append(p.provisioner.requests, &scaleOutRequest{Group: o, count: min(counts[o], wire.MaxScaleOut),
			id: fmt.Sprintf("bw-%d-%d", p.leader.term, p.provisioner.lastRequest), nextTry: c.now.Steady})
	}
}

// scaleIn returns idle machines. One is kept about as long as another takes to
// boot, and ordinary ones as long as they are the spare room: those with the least in
// their caches go first, since what the next service needs may be in the others'.
func (p *capacityPlanner) scaleIn() {
	l := p.leader
	now := l.core.now.Steady
	var idle []*machine
	for _, m := range l.machinesByName {
		if m.schedulable != nil && len(m.placementsInOrder) == 0 && len(m.orphanedTasks) == 0 && !m.releasing &&
			now >= m.idleSince+config.Seconds(m.machineType.BootS*l.core.operator.IdleBoots) {
			idle = append(idle, m)
		}
	}
	if len(idle) == 0 {
		return
	}
	surplus := p.headroom(math.Inf(1)) - p.headroomWanted()
	sort.SliceStable(idle, func(a, b int) bool { return idle[a].cachedGB() < idle[b].cachedGB() })
	for _, m := range idle {
		if !m.spot {
			if surplus < m.machineType.GPUs {
				continue
			}
			surplus -= m.machineType.GPUs
		}
		p.provisioner.release(m, releaseIdle)
	}
}
