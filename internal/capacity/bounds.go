package capacity

import (
	"math"

	"bitternwing/internal/resource"
)

// freeBounds are upper bounds of the free resources of the machines in a subtree.
type freeBounds struct {
	maxFree resource.Amount // component-wise maximum over the machines
	images  imageBounds
}

func newFreeBounds(machine *MachineCapacity) freeBounds {
	return freeBounds{maxFree: machine.Free, images: newImageBounds(machine)}
}

func combineFreeBounds(into, other *freeBounds, _ bool) {
	into.maxFree = componentwiseMax(into.maxFree, other.maxFree)
	into.images.combine(&other.images)
}

// Bounds are upper bounds of the resources that preemption could free for a task on any machine in a subtree.
type Bounds struct {
	FirstName string // lowest machine name in the subtree
	images    imageBounds
	// maxFree[r] bounds the free resources of a machine once all work of ranks below r is stopped; maxFree[0] is
	// without preemption. largestTask[r] is the largest task of ranks 1 to r-1, and largestIdleTask is the largest task
	// of rank 0.
	maxFree         [Ranks + 1]resource.Amount
	largestTask     [Ranks + 1]resource.Amount
	largestIdleTask resource.Amount
}

func newBounds(machine *MachineCapacity) Bounds {
	b := Bounds{FirstName: machine.Name, images: newImageBounds(machine), largestIdleTask: machine.Preemptible[0].Largest}
	b.maxFree[0] = machine.FreeAfterStops
	for rank := range Ranks {
		b.maxFree[rank+1] = b.maxFree[rank]
		b.maxFree[rank+1].Add(machine.Preemptible[rank].Total)
		b.largestTask[rank+1] = b.largestTask[rank]
		if rank > 0 {
			b.largestTask[rank+1] = componentwiseMax(b.largestTask[rank], machine.Preemptible[rank].Largest)
		}
	}
	return b
}

func combineBounds(into, other *Bounds, before bool) {
	if before {
		into.FirstName = other.FirstName
	}
	into.largestIdleTask = componentwiseMax(into.largestIdleTask, other.largestIdleTask)
	into.images.combine(&other.images)
	for i := range into.maxFree {
		into.maxFree[i] = componentwiseMax(into.maxFree[i], other.maxFree[i])
		into.largestTask[i] = componentwiseMax(into.largestTask[i], other.largestTask[i])
	}
}

// Cost is the cost of preemption on a machine. Costs are compared by the number of stopped tasks above rank 0, then by
// the image state, then by the number of stopped tasks of rank 0.
type Cost struct {
	Stops      int
	ImageState ImageState
	IdleStops  int
}

// Less reports whether c is lower than d.
func (c Cost) Less(d Cost) bool {
	switch {
	case c.Stops != d.Stops:
		return c.Stops < d.Stops
	case c.ImageState != d.ImageState:
		return c.ImageState < d.ImageState
	}
	return c.IdleStops < d.IdleStops
}

// AllRanks is the exclusive upper bound of ranks that allows preemption of work of every rank.
const AllRanks = Ranks

// MinCost returns a lower bound of the cost of preemption for a task if work of ranks below belowRank may be stopped.
// It returns false if stopping all of that work cannot free enough.
func (b *Bounds) MinCost(required resource.Amount, belowRank int, bit ImageBit) (Cost, bool) {
	if !b.maxFree[belowRank].Covers(required) {
		return Cost{}, false
	}
	cost := Cost{ImageState: b.images.bestState(bit)}
	switch {
	case b.maxFree[0].Covers(required):
	case belowRank > 0 && b.maxFree[1].Covers(required):
		cost.IdleStops = minTasksToFree(required, b.maxFree[0], b.largestIdleTask)
	case belowRank > 0:
		cost.Stops = minTasksToFree(required, b.maxFree[1], b.largestTask[belowRank])
	}
	return cost, true
}

// minTasksToFree returns the minimum number of tasks that have to be stopped to free the missing resources, where no
// task is larger than the largest. It is at least 1.
func minTasksToFree(required, available, largest resource.Amount) int {
	missing := required
	missing.Subtract(available)
	return max(1,
		tasksToCover(missing.GPUs, largest.GPUs),
		tasksToCover(missing.CPUs, largest.CPUs),
		tasksToCover(missing.MemoryGB, largest.MemoryGB),
		tasksToCover(missing.ReportBytes, largest.ReportBytes))
}

// quotientTolerance bounds the rounding error of a quotient. It is subtracted so that the result remains a lower bound.
const quotientTolerance = 1e-6

func tasksToCover(missing, largest float64) int {
	if missing <= 0 || largest <= 0 {
		return 0
	}
	return int(math.Ceil(missing/largest - quotientTolerance))
}
