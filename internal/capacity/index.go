package capacity

import (
	"cmp"
	"math/bits"
	"slices"
	"strings"

	"bitternwing/internal/resource"
)

// Index is an index of machines, each with a value of the caller's type.
type Index[T any] struct {
	groups  map[groupKey]*group[T]
	order   []*group[T]
	entries map[string]*entry[T]
}

// entry is a machine in the index.
type entry[T any] struct {
	capacity MachineCapacity
	group    *group[T]
	value    T
	// staleByName says that the tree by name does not have the present capacity yet.
	staleByName bool
}

// primaryResource gives the resource by which free capacity is ordered: GPUs, or CPUs for machines without.
func (e *entry[T]) primaryResource(a resource.Amount) float64 {
	if e.group.size.GPUs > 0 {
		return a.GPUs
	}
	return a.CPUs
}

// leftoverShare is the share of a machine's primary resource that a task would leave free.
func (e *entry[T]) leftoverShare(need resource.Amount) float64 {
	size := e.primaryResource(e.group.size)
	if size == 0 {
		return 1
	}
	return (e.primaryResource(e.capacity.Free) - e.primaryResource(need)) / size
}

// tighter tells whether a machine is the better fit for a task: it would have less left.
func (e *entry[T]) tighter(other *entry[T], need resource.Amount) bool {
	if a, b := e.leftoverShare(need), other.leftoverShare(need); a != b {
		return a < b
	}
	return e.capacity.Name < other.capacity.Name
}

// groupKey identifies a group of machines of one size. Machines of a type differ in size if the type has changed, and free
// resources are comparable only among machines of one size.
type groupKey struct {
	Group
	size resource.Amount
}

// group is the machines of a group in two trees: by free resources, for placement, and by name, for preemption.
type group[T any] struct {
	groupKey
	byFree treap[*entry[T], freeBounds]
	byName treap[*entry[T], Bounds]
	// staleByName are the machines whose change is not in the tree by name yet.
	staleByName []*entry[T]
}

// NewIndex makes an index without machines.
func NewIndex[T any]() *Index[T] {
	return &Index[T]{groups: map[groupKey]*group[T]{}, entries: map[string]*entry[T]{}}
}

func (x *Index[T]) group(key groupKey) *group[T] {
	if g := x.groups[key]; g != nil {
		return g
	}
	priority := func(e **entry[T]) uint64 { return hash((*e).capacity.Name) }
	g := &group[T]{groupKey: key,
		byFree: treap[*entry[T], freeBounds]{before: lessFree[T], priority: priority, join: joinFree,
			summarize: func(e **entry[T]) freeBounds { return newFreeBounds(&(*e).capacity) }},
		byName: treap[*entry[T], Bounds]{before: lessName[T], priority: priority, join: joinBounds,
			summarize: func(e **entry[T]) Bounds { return newBounds(&(*e).capacity) }},
	}
	x.groups[key] = g
	i, _ := slices.BinarySearchFunc(x.order, g, compareGroups[T])
	x.order = slices.Insert(x.order, i, g)
	return g
}

func compareGroups[T any](a, b *group[T]) int {
	spot := map[bool]int{true: 1}
	return cmp.Or(strings.Compare(a.Type, b.Type), strings.Compare(a.Zone, b.Zone), spot[a.Spot]-spot[b.Spot],
		cmp.Compare(a.size.GPUs, b.size.GPUs), cmp.Compare(a.size.CPUs, b.size.CPUs), cmp.Compare(a.size.MemoryGB, b.size.MemoryGB))
}

func lessFree[T any](a, b **entry[T]) bool {
	if x, y := (*a).primaryResource((*a).capacity.Free), (*b).primaryResource((*b).capacity.Free); x != y {
		return x < y
	}
	return (*a).capacity.Name < (*b).capacity.Name
}

func lessName[T any](a, b **entry[T]) bool { return (*a).capacity.Name < (*b).capacity.Name }

// Put adds a machine of a size, or updates it.
func (x *Index[T]) Put(key Group, size resource.Amount, capacity MachineCapacity, value T) {
	e := x.entries[capacity.Name]
	if e != nil && e.group.groupKey != (groupKey{key, size}) {
		x.Remove(capacity.Name)
		e = nil
	}
	if e == nil {
		e = &entry[T]{capacity: capacity, group: x.group(groupKey{key, size})}
		x.entries[capacity.Name] = e
		e.group.byFree.insert(e)
		e.group.byName.insert(e)
	}
	e.value = value
	if e.capacity != capacity {
		e.group.change(e, capacity)
	}
}

// change updates a machine's capacity. The tree by name is updated when it is used next: most changes come while nothing is
// preempted.
func (g *group[T]) change(e *entry[T], capacity MachineCapacity) {
	if !e.staleByName {
		e.staleByName = true
		g.staleByName = append(g.staleByName, e)
	}
	if e.capacity.Free == capacity.Free {
		e.capacity = capacity
		g.byFree.replace(&e)
		return
	}
	g.byFree.remove(&e)
	e.capacity = capacity
	g.byFree.insert(e)
}

// refreshByName brings the tree by name up to date.
func (g *group[T]) refreshByName() {
	for _, e := range g.staleByName {
		if e.staleByName {
			e.staleByName = false
			g.byName.replace(&e)
		}
	}
	clear(g.staleByName)
	g.staleByName = g.staleByName[:0]
}

func (g *group[T]) remove(e *entry[T]) {
	e.staleByName = false
	g.byFree.remove(&e)
	g.byName.remove(&e)
}

// Remove removes a machine, if it is there.
func (x *Index[T]) Remove(name string) {
	if e := x.entries[name]; e != nil {
		e.group.remove(e)
		delete(x.entries, name)
	}
}

// Groups gives the groups that have machines, in order; one for each size of machines.
func (x *Index[T]) Groups() []Group {
	groups := make([]Group, 0, len(x.order))
	for _, g := range x.order {
		if g.byFree.root != nil {
			groups = append(groups, g.Group)
		}
	}
	return groups
}

// Len is the number of machines.
func (x *Index[T]) Len() int { return len(x.entries) }

// Height is about the height of a balanced tree of all machines, which is what a change costs, in machines evaluated.
func (x *Index[T]) Height() int { return bits.Len(uint(len(x.entries))) }

// Get gives a machine's group and capacity; false if it is not there.
func (x *Index[T]) Get(name string) (Group, MachineCapacity, bool) {
	e := x.entries[name]
	if e == nil {
		return Group{}, MachineCapacity{}, false
	}
	return e.group.Group, e.capacity, true
}

// FitRequest is a request for the best fit for a task.
type FitRequest[T any] struct {
	Need  resource.Amount
	Image string
	// Penalty is by how many image states the task prefers other groups; false: it may not run in this one.
	Penalty func(Group) (ImageState, bool)
	// Suits tells whether a machine that has the resources will do, and the state of the image there.
	Suits func(T) (ImageState, bool)
}

// MaxPenalty is the maximum of a penalty.
const MaxPenalty = 2

// BestFit finds the machine for a task: the one with the best image state, plus penalty; of these the one with the least left
// free; of these the first by name. It also gives the number of machines evaluated.
func (x *Index[T]) BestFit(q FitRequest[T]) (found T, ok bool, evaluated int) {
	bit := BitOf(q.Image)
	type candidate struct {
		group   *group[T]
		penalty ImageState
	}
	var groups []candidate
	for _, g := range x.order {
		if penalty, may := q.Penalty(g.Group); may && g.byFree.root != nil {
			groups = append(groups, candidate{g, penalty})
		}
	}
	for level := ImageReady; level < ImageStates+MaxPenalty; level++ {
		var best *entry[T]
		for _, c := range groups {
			state := level - c.penalty
			if state < ImageReady || state >= ImageStates {
				continue
			}
			if e := c.group.bestFit(&q, state, bit, &evaluated); e != nil && (best == nil || e.tighter(best, q.Need)) {
				best = e
			}
		}
		if best != nil {
			return best.value, true, evaluated
		}
	}
	return found, false, evaluated
}

// bestFit finds the machine of a group with the least left free, of those with one image state.
func (g *group[T]) bestFit(q *FitRequest[T], state ImageState, bit ImageBit, evaluated *int) *entry[T] {
	return g.bestFitting(q.Need, state, bit, evaluated, func(e *entry[T]) bool {
		actual, suits := q.Suits(e.value)
		return suits && actual == state
	})
}

// Walk visits the machines of some groups, by name within each. It prunes subtrees for whose bounds skip is true. It gives
// the number of machines evaluated.
func (x *Index[T]) Walk(within func(Group) bool, skip func(*Bounds) bool, visit func(T)) (evaluated int) {
	for _, g := range x.order {
		if g.byName.root == nil || !within(g.Group) {
			continue
		}
		g.refreshByName()
		g.byName.root.search(skip, func(e **entry[T]) bool {
			visit((*e).value)
			return false
		}, &evaluated)
	}
	return evaluated
}
