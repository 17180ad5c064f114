package capacity

import (
	"cmp"
	"math/bits"
	"slices"
	"strings"

	"bitternwing/internal/resource"
)

// Index is an index of machines. Each machine has a value of the caller's type.
type Index[T any] struct {
	groups       map[groupKey]*group[T]
	sortedGroups []*group[T]
	entries      map[string]*entry[T]
}

// entry is a machine in the index.
type entry[T any] struct {
	capacity MachineCapacity
	group    *group[T]
	value    T
	// nameTreeStale is true while the tree by name holds an outdated capacity of the machine.
	nameTreeStale bool
}

// primaryResource returns the resource that orders machines by free capacity: GPUs, or CPUs for machines without GPUs.
func (e *entry[T]) primaryResource(a resource.Amount) float64 {
	if e.group.size.GPUs > 0 {
		return a.GPUs
	}
	return a.CPUs
}

// leftoverFraction returns the fraction of the machine's primary resource that would stay free beside the task.
func (e *entry[T]) leftoverFraction(required resource.Amount) float64 {
	size := e.primaryResource(e.group.size)
	if size == 0 {
		return 1
	}
	return (e.primaryResource(e.capacity.Free) - e.primaryResource(required)) / size
}

// betterFitThan reports whether the machine is a better fit for the task than the other one: it would have less left
// free, or as much and a lower name.
func (e *entry[T]) betterFitThan(other *entry[T], required resource.Amount) bool {
	if leftover, otherLeftover := e.leftoverFraction(required), other.leftoverFraction(required); leftover != otherLeftover {
		return leftover < otherLeftover
	}
	return e.capacity.Name < other.capacity.Name
}

// groupKey identifies the machines of a group that have one size. Machines of one type differ in size after a change of
// the type, and free resources are comparable only between machines of the same size.
type groupKey struct {
	Group
	size resource.Amount
}

// group holds the machines of a groupKey in two trees: one by free resources, for placement, and one by name, for
// preemption.
type group[T any] struct {
	groupKey
	byFree treap[*entry[T], freeBounds]
	byName treap[*entry[T], Bounds]
	// staleInNameTree lists the machines whose latest capacity is not in the tree by name.
	staleInNameTree []*entry[T]
}

// NewIndex returns an empty index.
func NewIndex[T any]() *Index[T] {
	return &Index[T]{groups: map[groupKey]*group[T]{}, entries: map[string]*entry[T]{}}
}

func (x *Index[T]) group(key groupKey) *group[T] {
	if g := x.groups[key]; g != nil {
		return g
	}
	priority := func(e **entry[T]) uint64 { return hash((*e).capacity.Name) }
	g := &group[T]{groupKey: key,
		byFree: treap[*entry[T], freeBounds]{before: lessFree[T], priority: priority, combine: combineFreeBounds,
			summarize: func(e **entry[T]) freeBounds { return newFreeBounds(&(*e).capacity) }},
		byName: treap[*entry[T], Bounds]{before: lessName[T], priority: priority, combine: combineBounds,
			summarize: func(e **entry[T]) Bounds { return newBounds(&(*e).capacity) }},
	}
	x.groups[key] = g
	i, _ := slices.BinarySearchFunc(x.sortedGroups, g, compareGroups[T])
	x.sortedGroups = slices.Insert(x.sortedGroups, i, g)
	return g
}

func compareGroups[T any](a, b *group[T]) int {
	spotOrder := map[bool]int{true: 1}
	return cmp.Or(strings.Compare(a.Type, b.Type), strings.Compare(a.Zone, b.Zone), spotOrder[a.Spot]-spotOrder[b.Spot],
		cmp.Compare(a.size.GPUs, b.size.GPUs), cmp.Compare(a.size.CPUs, b.size.CPUs), cmp.Compare(a.size.MemoryGB, b.size.MemoryGB))
}

func lessFree[T any](a, b **entry[T]) bool {
	if freeA, freeB := (*a).primaryResource((*a).capacity.Free), (*b).primaryResource((*b).capacity.Free); freeA != freeB {
		return freeA < freeB
	}
	return (*a).capacity.Name < (*b).capacity.Name
}

func lessName[T any](a, b **entry[T]) bool { return (*a).capacity.Name < (*b).capacity.Name }

// Put adds a machine of the given group and size, or updates it.
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
		e.group.update(e, capacity)
	}
}

// update sets the capacity of a machine. The tree by name is updated lazily, before its next use, because most changes
// come while nothing is being preempted.
func (g *group[T]) update(e *entry[T], capacity MachineCapacity) {
	if !e.nameTreeStale {
		e.nameTreeStale = true
		g.staleInNameTree = append(g.staleInNameTree, e)
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

// refreshNameTree brings the tree by name up to date.
func (g *group[T]) refreshNameTree() {
	for _, e := range g.staleInNameTree {
		if e.nameTreeStale {
			e.nameTreeStale = false
			g.byName.replace(&e)
		}
	}
	clear(g.staleInNameTree)
	g.staleInNameTree = g.staleInNameTree[:0]
}

func (g *group[T]) remove(e *entry[T]) {
	e.nameTreeStale = false
	g.byFree.remove(&e)
	g.byName.remove(&e)
}

// Remove removes a machine. It does nothing if the machine is not in the index.
func (x *Index[T]) Remove(name string) {
	if e := x.entries[name]; e != nil {
		e.group.remove(e)
		delete(x.entries, name)
	}
}

// Groups returns the groups that have machines, in order. A group appears once for each size of its machines.
func (x *Index[T]) Groups() []Group {
	groups := make([]Group, 0, len(x.sortedGroups))
	for _, g := range x.sortedGroups {
		if g.byFree.root != nil {
			groups = append(groups, g.Group)
		}
	}
	return groups
}

// Len returns the number of machines.
func (x *Index[T]) Len() int { return len(x.entries) }

// Height returns the approximate height of a balanced tree of all machines. An update costs about as much as evaluating
// that many machines.
func (x *Index[T]) Height() int { return bits.Len(uint(len(x.entries))) }

// Get returns the group and the capacity of a machine, or false if it is not in the index.
func (x *Index[T]) Get(name string) (Group, MachineCapacity, bool) {
	e := x.entries[name]
	if e == nil {
		return Group{}, MachineCapacity{}, false
	}
	return e.group.Group, e.capacity, true
}

// FitRequest describes a task for which the best-fitting machine is sought.
type FitRequest[T any] struct {
	Required resource.Amount
	Image    string
	// Penalty returns by how many image states machines of a group rank lower for the task, from 0 to MaxPenalty. It
	// returns false if the task may not run in the group.
	Penalty func(Group) (ImageState, bool)
	// Feasible returns the state of the image on a machine with sufficient resources, and whether the task may run
	// there.
	Feasible func(T) (ImageState, bool)
}

// MaxPenalty is the highest penalty of a group.
const MaxPenalty = 2

// BestFit returns the best machine for a task. Machines are compared by image state plus penalty, then by the fraction
// of the primary resource left free, then by name. It also returns the number of machines evaluated.
func (x *Index[T]) BestFit(request FitRequest[T]) (found T, ok bool, evaluated int) {
	bit := BitOf(request.Image)
	type candidate struct {
		group   *group[T]
		penalty ImageState
	}
	var groups []candidate
	for _, g := range x.sortedGroups {
		if penalty, allowed := request.Penalty(g.Group); allowed && g.byFree.root != nil {
			groups = append(groups, candidate{g, penalty})
		}
	}
	for level := ImageReady; level < ImageStateCount+MaxPenalty; level++ {
		var best *entry[T]
		for _, c := range groups {
			state := level - c.penalty
			if state < ImageReady || state >= ImageStateCount {
				continue
			}
			if e := c.group.bestFitInState(&request, state, bit, &evaluated); e != nil && (best == nil || e.betterFitThan(best, request.Required)) {
				best = e
			}
		}
		if best != nil {
			return best.value, true, evaluated
		}
	}
	return found, false, evaluated
}

// bestFitInState returns the machine of the group with the least left free, among those where the image is in the given
// state.
func (g *group[T]) bestFitInState(request *FitRequest[T], state ImageState, bit ImageBit, evaluated *int) *entry[T] {
	return g.bestFitWhere(request.Required, state, bit, evaluated, func(e *entry[T]) bool {
		actual, feasible := request.Feasible(e.value)
		return feasible && actual == state
	})
}

// VisitFree visits the machines of the included groups that have the required resources free, until visit returns
// false. It returns the number of machines evaluated.
func (x *Index[T]) VisitFree(include func(Group) bool, required resource.Amount, visit func(T) bool) (evaluated int) {
	prune := func(b *freeBounds) bool { return !b.maxFree.Covers(required) }
	stop := func(e **entry[T]) bool { return !visit((*e).value) }
	for _, g := range x.sortedGroups {
		if include(g.Group) && g.byFree.root.search(prune, stop, &evaluated) {
			break
		}
	}
	return evaluated
}

// Walk visits the machines of the included groups, by name within each group. Subtrees whose bounds satisfy prune are
// skipped. It returns the number of machines evaluated.
func (x *Index[T]) Walk(include func(Group) bool, prune func(*Bounds) bool, visit func(T)) (evaluated int) {
	for _, g := range x.sortedGroups {
		if g.byName.root == nil || !include(g.Group) {
			continue
		}
		g.refreshNameTree()
		g.byName.root.search(prune, func(e **entry[T]) bool {
			visit((*e).value)
			return false
		}, &evaluated)
	}
	return evaluated
}
