package capacity

import (
	"math"

	"bitternwing/internal/resource"
)

// freeBounds bound the free room of the machines below a node.
type freeBounds struct {
	free   resource.Amount // the most, each resource by itself
	images imageBounds
}

func freeBoundsOf(r *Room) freeBounds { return freeBounds{free: r.Free, images: imageBoundsOf(r)} }

func joinFree(into, other *freeBounds, _ bool) {
	into.free = larger(into.free, other.free)
	into.images.join(&other.images)
}

// Bounds bound what the machines below a node could have for a task if work on them were stopped.
type Bounds struct {
	First  string // the first of their names
	images imageBounds
	// most is what could be free once all work below a rank was stopped, so the first is what will be free anyway; largest is the largest task of
	// such work that has a rank above 0, largestIdle that of rank 0.
	most        [Ranks + 1]resource.Amount
	largest     [Ranks + 1]resource.Amount
	largestIdle resource.Amount
}

func boundsOf(r *Room) Bounds {
	b := Bounds{First: r.Name, images: imageBoundsOf(r), largestIdle: r.Stoppable[0].Largest}
	b.most[0] = r.Soon
	for rank := range Ranks {
		b.most[rank+1] = b.most[rank]
		b.most[rank+1].Give(r.Stoppable[rank].Sum)
		b.largest[rank+1] = b.largest[rank]
		if rank > 0 {
			b.largest[rank+1] = larger(b.largest[rank], r.Stoppable[rank].Largest)
		}
	}
	return b
}

func joinBounds(into, other *Bounds, before bool) {
	if before {
		into.First = other.First
	}
	into.largestIdle = larger(into.largestIdle, other.largestIdle)
	into.images.join(&other.images)
	for i := range into.most {
		into.most[i] = larger(into.most[i], other.most[i])
		into.largest[i] = larger(into.largest[i], other.largest[i])
	}
}

// Cost is what it costs to make room on a machine: tasks that are stopped, but for those of rank 0; then how
// warm it is for the image; then the tasks of rank 0 that are stopped.
type Cost struct {
	Stops     int
	Warmth    Warmth
	IdleStops int
}

// Less orders costs.
func (c Cost) Less(d Cost) bool {
	switch {
	case c.Stops != d.Stops:
		return c.Stops < d.Stops
	case c.Warmth != d.Warmth:
		return c.Warmth < d.Warmth
	}
	return c.IdleStops < d.IdleStops
}

// AllRanks stands for work of every rank.
const AllRanks = Ranks

// LeastCost bounds from below what it costs to make room for a task, if work below a rank may be stopped;
// false if it can't be done at all.
func (b *Bounds) LeastCost(need resource.Amount, below int, bit ImageBit) (Cost, bool) {
	if !b.most[below].Holds(need) {
		return Cost{}, false
	}
	cost := Cost{Warmth: b.images.best(bit)}
	switch {
	case b.most[0].Holds(need):
	case below > 0 && b.most[1].Holds(need):
		cost.IdleStops = leastTasks(need, b.most[0], b.largestIdle)
	case below > 0:
		cost.Stops = leastTasks(need, b.most[1], b.largest[below])
	}
	return cost, true
}

// leastTasks is the least number of tasks, each no larger than the largest, that make up for what is missing
// of an amount.
func leastTasks(need, have, largest resource.Amount) int {
	missing := need
	missing.Take(have)
	return max(1, parts(missing.GPUs, largest.GPUs), parts(missing.CPUs, largest.CPUs), parts(missing.MemoryGB, largest.MemoryGB))
}

// roundingError is what a quotient may be off by, so that a bound stays one.
const roundingError = 1e-6

func parts(missing, largest float64) int {
	if missing <= 0 || largest <= 0 {
		return 0
	}
	return int(math.Ceil(missing/largest - roundingError))
}
