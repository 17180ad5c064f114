package capacity

import (
	"cmp"
	"slices"

	"bitternwing/internal/resource"
)

// CostRequest is a task that looks for the machine that costs the least, in a unit of the caller's.
type CostRequest[T any] struct {
	Need  resource.Amount
	Image string
	// Cost is what a machine of a group costs by its warmth; false: the task may not run in the group.
	Cost func(Group, ImageState) (float64, bool)
	// Suits tells whether a machine that has the room will do, how warm it is, and whether it is crowded.
	Suits func(T) (warmth ImageState, crowded, suits bool)
	// Crowded is what a crowded machine costs beside that; at least 0.
	Crowded float64
}

// costClass is the machines of a group of one warmth, crowded ones included or not.
type costClass[T any] struct {
	group   *group[T]
	warmth  ImageState
	crowded bool
	cost    float64
}

// LowestCost finds the machine for a task that costs the least, of these the one that has the least left, and of these
// the first by name. It gives the number of machines looked at.
func (x *Index[T]) LowestCost(q CostRequest[T]) (found T, cost float64, ok bool, looked int) {
	var best *entry[T]
	bit := BitOf(q.Image)
	for _, c := range x.classes(&q) {
		if best != nil && c.cost > cost {
			break
		}
		// Where crowded ones count too, the others of the class cost less: none of them is left that suits.
		e := c.group.bestFitting(q.Need, c.warmth, bit, &looked, func(e *entry[T]) bool {
			w, crowded, suits := q.Suits(e.value)
			return suits && w == c.warmth && (c.crowded || !crowded)
		})
		if e != nil && (best == nil || e.tighter(best, q.Need)) {
			best, cost = e, c.cost
		}
	}
	if best == nil {
		return found, 0, false, looked
	}
	return best.value, cost, true, looked
}

// classes gives the classes of machines in which a task may run, the cheapest first.
func (x *Index[T]) classes(q *CostRequest[T]) []costClass[T] {
	var all []costClass[T]
	for _, g := range x.order {
		if g.byFree.root == nil {
			continue
		}
		for warmth := ImageReady; warmth < ImageStates; warmth++ {
			cost, may := q.Cost(g.Group, warmth)
			if !may {
				break
			}
			all = append(all, costClass[T]{g, warmth, q.Crowded <= 0, cost})
			if q.Crowded > 0 {
				all = append(all, costClass[T]{g, warmth, true, cost + q.Crowded})
			}
		}
	}
	slices.SortStableFunc(all, func(a, b costClass[T]) int { return cmp.Compare(a.cost, b.cost) })
	return all
}

// bestFitting finds the machine of a group that has the least left, of those that may be of a warmth.
func (g *group[T]) bestFitting(need resource.Amount, warmth ImageState, bit ImageBit, looked *int, suits func(*entry[T]) bool) (found *entry[T]) {
	g.byFree.root.search(func(b *freeBounds) bool {
		return !b.free.Holds(need) || !b.images.may(warmth, bit)
	}, func(e **entry[T]) bool {
		if suits(*e) {
			found = *e
		}
		return found != nil
	}, looked)
	return found
}
