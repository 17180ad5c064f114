package capacity

import (
	"cmp"
	"slices"

	"bitternwing/internal/resource"
)

// CostRequest is a request for the machine that costs a task the least, in the caller's unit.
type CostRequest[T any] struct {
	Need  resource.Amount
	Image string
	// Cost is what a machine of a group costs, by the state of the image there; false: the task may not run in the group.
	Cost func(Group, ImageState) (float64, bool)
	// Suits tells whether a machine that has the resources will do, the state of the image there, and whether the machine
	// is crowded.
	Suits func(T) (state ImageState, crowded, suits bool)
	// CrowdedCost is the additional cost of a crowded machine; at least 0.
	CrowdedCost float64
}

// costClass is the machines of a group with one image state, including crowded ones or not.
type costClass[T any] struct {
	group   *group[T]
	state   ImageState
	crowded bool
	cost    float64
}

// LowestCost finds the machine that costs a task the least; of these the one with the least left free; of these the first by
// name. It also gives the number of machines evaluated.
func (x *Index[T]) LowestCost(q CostRequest[T]) (found T, cost float64, ok bool, evaluated int) {
	var best *entry[T]
	bit := BitOf(q.Image)
	for _, c := range x.classes(&q) {
		if best != nil && c.cost > cost {
			break
		}
		// If crowded machines are included, the others were in an earlier, cheaper class, in which none was suitable.
		e := c.group.bestFitting(q.Need, c.state, bit, &evaluated, func(e *entry[T]) bool {
			state, crowded, suits := q.Suits(e.value)
			return suits && state == c.state && (c.crowded || !crowded)
		})
		if e != nil && (best == nil || e.tighter(best, q.Need)) {
			best, cost = e, c.cost
		}
	}
	if best == nil {
		return found, 0, false, evaluated
	}
	return best.value, cost, true, evaluated
}

// classes gives the classes of machines in which a task may run, the cheapest first.
func (x *Index[T]) classes(q *CostRequest[T]) []costClass[T] {
	var all []costClass[T]
	for _, g := range x.order {
		if g.byFree.root == nil {
			continue
		}
		for state := ImageReady; state < ImageStates; state++ {
			cost, may := q.Cost(g.Group, state)
			if !may {
				break
			}
			all = append(all, costClass[T]{g, state, q.CrowdedCost <= 0, cost})
			if q.CrowdedCost > 0 {
				all = append(all, costClass[T]{g, state, true, cost + q.CrowdedCost})
			}
		}
	}
	slices.SortStableFunc(all, func(a, b costClass[T]) int { return cmp.Compare(a.cost, b.cost) })
	return all
}

// bestFitting finds the machine of a group with the least left free, of those that may have an image state.
func (g *group[T]) bestFitting(need resource.Amount, state ImageState, bit ImageBit, evaluated *int, suits func(*entry[T]) bool) (found *entry[T]) {
	g.byFree.root.search(func(b *freeBounds) bool {
		return !b.free.Covers(need) || !b.images.mayBe(state, bit)
	}, func(e **entry[T]) bool {
		if suits(*e) {
			found = *e
		}
		return found != nil
	}, evaluated)
	return found
}
