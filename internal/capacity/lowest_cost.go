package capacity

import (
	"cmp"
	"slices"

	"bitternwing/internal/resource"
)

// CostRequest describes a task for which the machine with the lowest cost is sought. The unit of cost is the caller's.
type CostRequest[T any] struct {
	Required resource.Amount
	Image    string
	// Cost returns the cost of a machine of a group by the state of the image there. It returns false if the task may
	// not run in the group.
	Cost func(Group, ImageState) (float64, bool)
	// Feasible returns, for a machine with sufficient resources, the state of the image, whether CrowdedCost applies to
	// the machine, and whether the task may run there.
	Feasible func(T) (state ImageState, crowded, feasible bool)
	// CrowdedCost is the additional cost of a crowded machine. It is not negative.
	CrowdedCost float64
}

// costClass is the machines of a group in one image state. If crowded is set, it includes the crowded machines.
type costClass[T any] struct {
	group   *group[T]
	state   ImageState
	crowded bool
	cost    float64
}

// LowestCost returns the machine with the lowest cost for a task. Machines of equal cost are compared by the fraction
// of the primary resource left free, then by name. It also returns the number of machines evaluated.
func (x *Index[T]) LowestCost(request CostRequest[T]) (found T, cost float64, ok bool, evaluated int) {
	var best *entry[T]
	bit := BitOf(request.Image)
	for _, c := range x.costClasses(&request) {
		if best != nil && c.cost > cost {
			break
		}
		// A class that includes crowded machines follows the cheaper class without them, in which no machine was
		// feasible.
		e := c.group.bestFitWhere(request.Required, c.state, bit, &evaluated, func(e *entry[T]) bool {
			state, crowded, feasible := request.Feasible(e.value)
			return feasible && state == c.state && (c.crowded || !crowded)
		})
		if e != nil && (best == nil || e.betterFitThan(best, request.Required)) {
			best, cost = e, c.cost
		}
	}
	if best == nil {
		return found, 0, false, evaluated
	}
	return best.value, cost, true, evaluated
}

// costClasses returns the classes of machines in which the task may run, in order of cost.
func (x *Index[T]) costClasses(request *CostRequest[T]) []costClass[T] {
	var all []costClass[T]
	for _, g := range x.sortedGroups {
		if g.byFree.root == nil {
			continue
		}
		for state := ImageReady; state < ImageStateCount; state++ {
			cost, allowed := request.Cost(g.Group, state)
			if !allowed {
				break
			}
			all = append(all, costClass[T]{g, state, request.CrowdedCost <= 0, cost})
			if request.CrowdedCost > 0 {
				all = append(all, costClass[T]{g, state, true, cost + request.CrowdedCost})
			}
		}
	}
	slices.SortStableFunc(all, func(a, b costClass[T]) int { return cmp.Compare(a.cost, b.cost) })
	return all
}

// bestFitWhere returns the machine with the least left free, among the machines of the group that may have the image in
// the given state and that match. The tree is ordered by free resources, so that is the first match.
func (g *group[T]) bestFitWhere(required resource.Amount, state ImageState, bit ImageBit, evaluated *int, matches func(*entry[T]) bool) (found *entry[T]) {
	g.byFree.root.search(func(b *freeBounds) bool {
		return !b.maxFree.Covers(required) || !b.images.mayHaveState(state, bit)
	}, func(e **entry[T]) bool {
		if matches(*e) {
			found = *e
		}
		return found != nil
	}, evaluated)
	return found
}
