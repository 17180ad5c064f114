package capacity

import (
	"math"

	"bitternwing/internal/resource"
)

// freeBounds are upper bounds of the free resources of the machines below a node of a tree.
type freeBounds struct {
	free   resource.Amount // the most, each resource by itself
	images imageBounds
}

func newFreeBounds(r *MachineCapacity) freeBounds {
	return freeBounds{free: r.Free, images: newImageBounds(r)}
}

func joinFree(into, other *freeBounds, _ bool) {
	into.free = larger(into.free, other.free)
	into.images.join(&other.images)
}

// Bounds are upper bounds of the resources that the machines below a node could have for a task after preemption.
type Bounds struct {
	FirstName string // the first of their names
	images    imageBounds
	// maxFree is what could be free once all work below a rank is stopped; the first is what will be free without
	// preemption. largestTask is the largest task of such work of a rank above 0, largestIdleTask that of rank 0.
	maxFree         [Ranks + 1]resource.Amount
	largestTask     [Ranks + 1]resource.Amount
	largestIdleTask resource.Amount
}

func newBounds(r *MachineCapacity) Bounds {
	b := Bounds{FirstName: r.Name, images: newImageBounds(r), largestIdleTask: r.Preemptible[0].Largest}
	b.maxFree[0] = r.FreeAfterStops
	for rank := range Ranks {
		b.maxFree[rank+1] = b.maxFree[rank]
		b.maxFree[rank+1].Add(r.Preemptible[rank].Total)
		b.largestTask[rank+1] = b.largestTask[rank]
		if rank > 0 {
			b.largestTask[rank+1] = larger(b.largestTask[rank], r.Preemptible[rank].Largest)
		}
	}
	return b
}

func joinBounds(into, other *Bounds, before bool) {
	if before {
		into.FirstName = other.FirstName
	}
	into.largestIdleTask = larger(into.largestIdleTask, other.largestIdleTask)
	into.images.join(&other.images)
	for i := range into.maxFree {
		into.maxFree[i] = larger(into.maxFree[i], other.maxFree[i])
		into.largestTask[i] = larger(into.largestTask[i], other.largestTask[i])
	}
}

// Cost is the cost of preemption on a machine: the tasks above rank 0 that are stopped, then the state of the image, then
// the tasks of rank 0 that are stopped.
type Cost struct {
	Stops      int
	ImageState ImageState
	IdleStops  int
}

// Less orders costs.
func (c Cost) Less(d Cost) bool {
	switch {
	case c.Stops != d.Stops:
		return c.Stops < d.Stops
	case c.ImageState != d.ImageState:
		return c.ImageState < d.ImageState
	}
	return c.IdleStops < d.IdleStops
}

// AllRanks stands for work of every rank.
const AllRanks = Ranks

// MinCost is a lower bound of the cost of preemption for a task, if work below a rank may be stopped; false if that can't
// free enough.
func (b *Bounds) MinCost(need resource.Amount, below int, bit ImageBit) (Cost, bool) {
	if !b.maxFree[below].Covers(need) {
		return Cost{}, false
	}
	cost := Cost{ImageState: b.images.best(bit)}
	switch {
	case b.maxFree[0].Covers(need):
	case below > 0 && b.maxFree[1].Covers(need):
		cost.IdleStops = minTasks(need, b.maxFree[0], b.largestIdleTask)
	case below > 0:
		cost.Stops = minTasks(need, b.maxFree[1], b.largestTask[below])
	}
	return cost, true
}

// minTasks is the minimum number of tasks, each no larger than the largest, that take as much as is missing.
func minTasks(need, have, largest resource.Amount) int {
	missing := need
	missing.Subtract(have)
	return max(1,
		tasksCovering(missing.GPUs, largest.GPUs),
		tasksCovering(missing.CPUs, largest.CPUs),
		tasksCovering(missing.MemoryGB, largest.MemoryGB))
}

// roundingError is what a quotient may be off by. It is subtracted so that the result stays a lower bound.
const roundingError = 1e-6

func tasksCovering(missing, largest float64) int {
	if missing <= 0 || largest <= 0 {
		return 0
	}
	return int(math.Ceil(missing/largest - roundingError))
}
