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

// bin is a machine to come: booting, asked for, or planned.
type bin struct {
	capacity.Group
	mt   *wire.MachineType
	room resource.Amount
	new  bool
}

// planner finds how many machines are missing by packing what waits into those
// that are to come.
type planner struct {
	r     *round
	t     *rentals
	bins  []*bin
	count map[capacity.Group]int
	zones map[*job]map[string]int // where a job's tasks are or will be
	work  float64                 // array work not yet worth a machine, in machines
}

// plan rents and returns machines after a round.
func (l *leader) plan(r *round) {
	t := &l.provisioner
	if !t.settled() {
		return
	}
	now := l.core.now.Steady
	t.unask()
	p := &planner{r: r, t: t, count: map[capacity.Group]int{}, zones: map[*job]map[string]int{}}
	for _, m := range l.machinesByName {
		if m.machineType == nil || m.releasing {
			continue
		}
		o := m.group()
		p.count[o]++
		// A machine overdue may never come; what it should have taken is not
		// left waiting for it.
		if !m.reported && !m.everReported && now-m.requestedAt < config.Seconds(1.5*m.machineType.BootS) {
			p.bins = append(p.bins, &bin{Group: o, mt: m.machineType, room: resource.OfMachine(m.machineType)})
		}
	}
	for _, q := range t.requests {
		mt := l.core.machineType(q.Type)
		for i := 0; mt != nil && i < q.count; i++ {
			p.count[q.Group]++
			p.bins = append(p.bins, &bin{Group: q.Group, mt: mt, room: resource.OfMachine(mt)})
		}
	}
	counted := map[*job]int{}
	for _, w := range r.unmet {
		counted[w.job] += w.tasks
		for i := 0; i < w.tasks; i++ {
			if !p.put(w.job, w.job.spec.Spot) && !p.put(w.job, false) {
				break
			}
		}
	}
	for _, j := range l.queue {
		if j.isArray() && r.ready(j) {
			p.array(j, j.unplaced()-counted[j])
		}
	}
	p.ensureHeadroom()
	p.order()
	p.giveBack()
}

// put packs a task into a bin, opening one if need be.
func (p *planner) put(j *job, spot bool) bool {
	p.r.evaluations -= len(p.bins) / 4
	for _, b := range p.bins {
		if b.room.Holds(resource.OfTask(j.spec)) && p.suits(j, b.Group) {
			p.take(b, j)
			return true
		}
	}
	b := p.open(j, spot)
	if b == nil {
		return false
	}
	p.take(b, j)
	return true
}

func (p *planner) take(b *bin, j *job) {
	b.room.Take(resource.OfTask(j.spec))
	p.zonesOf(j)[b.Zone]++
}

func (p *planner) zonesOf(j *job) map[string]int {
	z := p.zones[j]
	if z == nil {
		z = maps.Clone(j.placementsByZone)
		p.zones[j] = z
	}
	return z
}

func (p *planner) suits(j *job, o capacity.Group) bool {
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

// open plans a new machine for a task: of the cheapest type that holds it, in the
// zone with the fewest machines of that kind.
func (p *planner) open(j *job, spot bool) *bin {
	l := p.r.l
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
			if _, cut := l.silentZones[z]; cut || l.core.now.Steady < p.t.exhausted[o] || !p.suits(j, o) {
				continue
			}
			if cost < bestCost || cost == bestCost && p.count[o] < bestCount {
				best, bestType, bestCost, bestCount = o, mt, cost, p.count[o]
			}
		}
	}
	if bestType == nil {
		return nil
	}
	p.count[best]++
	b := &bin{Group: best, mt: bestType, room: resource.OfMachine(bestType), new: true}
	p.bins = append(p.bins, b)
	return b
}

// array plans machines for an array's n further waiting tasks. A machine costs its boot time
// before it helps, so one is rented only for about as much work as that.
func (p *planner) array(j *job, n int) {
	if x := p.r.use.of(j.spec.Team); j.team.MaxGPUs > 0 && j.spec.GPUs > 0 {
		n = min(n, int((j.team.MaxGPUs-x[0])/j.spec.GPUs))
	}
	for i := 0; n > 0 && i < len(p.bins); i++ {
		for b := p.bins[i]; n > 0 && b.room.Holds(resource.OfTask(j.spec)) && p.suits(j, b.Group); n-- {
			p.take(b, j)
		}
	}
	for _, spot := range []bool{true, false} {
		if spot && !j.spec.Spot {
			continue
		}
		for n > 0 {
			b := p.open(j, spot)
			if b == nil {
				break
			}
			fits := 0
			for n > 0 && b.room.Holds(resource.OfTask(j.spec)) {
				p.take(b, j)
				fits++
				n--
			}
			share := 1 - b.room.GPUs/max(1, b.mt.GPUs)
			p.work += share * max(j.spec.EstimatedRunS, 1) / b.mt.BootS
			if !spot && j.spec.Spot {
				// An ordinary machine in place of a cheap one has to be worth more.
				p.work -= share * max(j.spec.EstimatedRunS, 1) / b.mt.BootS * (1 - b.mt.SpotPrice/b.mt.Price)
			}
			if p.work >= 0.5 {
				p.work -= 1
				continue
			}
			// Not worth it yet.
			p.bins = p.bins[:len(p.bins)-1]
			p.count[b.Group]--
			return
		}
	}
}

// headroomWanted is the room on ordinary machines to keep free for services to come.
func (p *planner) headroomWanted() float64 {
	inUse, largest := 0.0, 0.0
	for _, j := range p.r.l.queue {
		if !j.isArray() && !j.cancelled {
			all := float64(j.spec.Tasks) * j.spec.GPUs
			inUse += all
			largest = max(largest, all)
		}
	}
	if inUse == 0 || p.r.l.core.operator.SpareShare == 0 {
		return 0
	}
	return max(largest, inUse*p.r.l.core.operator.SpareShare)
}

// headroom is the room on ordinary machines that services could have: free, to
// come, or held by elastic jobs above their minimum (half of it, since those have
// to stop first). It is added up no further than to an amount that is enough.
func (p *planner) headroom(enough float64) float64 {
	sum := 0.0
	for _, b := range p.bins {
		if !b.Spot {
			sum += max(0, b.room.GPUs)
		}
	}
	for _, m := range p.r.l.machinesByName {
		if sum >= enough {
			break
		}
		if m.schedulable != nil && !m.spot {
			sum += p.headroomOn(m.schedulable)
		}
	}
	return sum
}

func (p *planner) headroomOn(h *host) float64 {
	sum := max(0, h.free.GPUs)
	for _, x := range h.m.placementsInOrder {
		if x.job.shrinkable() {
			sum += x.job.spec.GPUs / 2
		}
	}
	return sum
}

func (p *planner) ensureHeadroom() {
	l := p.r.l
	wanted := p.headroomWanted()
	for i := 0; i < 4 && p.headroom(wanted) < wanted; i++ {
		var any *job
		for _, j := range l.queue {
			if !j.isArray() && !j.cancelled && j.team != nil && !j.spec.SpreadZones && !j.spec.SingleZone {
				any = j
			}
		}
		if any == nil || p.open(any, false) == nil {
			return
		}
	}
}

// order sends the new bins as requests, one for each kind and zone.
func (p *planner) order() {
	c := p.r.l.core
	counts := map[capacity.Group]int{}
	var kinds []capacity.Group
	for _, b := range p.bins {
		if b.new {
			if counts[b.Group] == 0 {
				kinds = append(kinds, b.Group)
			}
			counts[b.Group]++
		}
	}
	// What is missing most goes first where the cloud's rate makes the rest wait.
	sort.SliceStable(kinds, func(a, b int) bool { return counts[kinds[a]] > counts[kinds[b]] })
	for _, o := range kinds {
		p.t.seq++
		p.t.requests = append(p.t.requests, &rental{Group: o, count: min(counts[o], wire.MaxScaleOut),
			name: fmt.Sprintf("bw-%d-%d", p.r.l.term, p.t.seq), at: c.now.Steady})
	}
}

// giveBack returns idle machines. One is kept about as long as another takes to
// boot, and ordinary ones as long as they are the spare room: those with the least in
// their caches go first, since what the next service needs may be in the others'.
func (p *planner) giveBack() {
	l := p.r.l
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
		p.t.release(m, releaseIdle)
	}
}
