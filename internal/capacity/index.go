package capacity

import (
	"cmp"
	"math/bits"
	"slices"
	"strings"

	"bitternwing/internal/resource"
)

// Index keeps machines, each with a value of the caller's.
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
	// staleByName says that the order by name does not know of the present room yet.
	staleByName bool
}

// primaryResource gives the resource by which a machine's room is ordered: GPUs, or CPUs where it has none.
func (e *entry[T]) primaryResource(a resource.Amount) float64 {
	if e.group.size.GPUs > 0 {
		return a.GPUs
	}
	return a.CPUs
}

// leftoverShare is the share of the machine that a task would leave free.
func (e *entry[T]) leftoverShare(need resource.Amount) float64 {
	size := e.primaryResource(e.group.size)
	if size == 0 {
		return 1
	}
	return (e.primaryResource(e.capacity.Free) - e.primaryResource(need)) / size
}

// tighter tells whether a task would leave less of this machine than of another one.
func (e *entry[T]) tighter(other *entry[T], need resource.Amount) bool {
	if a, b := e.leftoverShare(need), other.leftoverShare(need); a != b {
		return a < b
	}
	return e.capacity.Name < other.capacity.Name
}

// groupKey names a group. Machines of a type differ in size where the type has changed; their free room is in
// order only among those of one size.
type groupKey struct {
	Group
	size resource.Amount
}

// group is the machines of a group, in two orders: by free room, for what is to be placed, and by name,
// for what is to be stopped.
type group[T any] struct {
	groupKey
	byFree treap[*entry[T], freeBounds]
	byName treap[*entry[T], Bounds]
	// staleByName are the machines whose change the order by name does not know of yet.
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

// Put takes a machine of some size in, or changes what is known of it.
func (x *Index[T]) Put(key Group, size resource.Amount, room MachineCapacity, value T) {
	e := x.entries[room.Name]
	if e != nil && e.group.groupKey != (groupKey{key, size}) {
		x.Remove(room.Name)
		e = nil
	}
	if e == nil {
		e = &entry[T]{capacity: room, group: x.group(groupKey{key, size})}
		x.entries[room.Name] = e
		e.group.byFree.insert(e)
		e.group.byName.insert(e)
	}
	e.value = value
	if e.capacity != room {
		e.group.change(e, room)
	}
}

// change takes in a change of a machine's room. The order by name follows when it is asked for next: most
// changes come while nobody looks for what could be stopped.
func (g *group[T]) change(e *entry[T], room MachineCapacity) {
	if !e.staleByName {
		e.staleByName = true
		g.staleByName = append(g.staleByName, e)
	}
	if e.capacity.Free == room.Free {
		e.capacity = room
		g.byFree.replace(&e)
		return
	}
	g.byFree.remove(&e)
	e.capacity = room
	g.byFree.insert(e)
}

// refreshByName brings the order by name up to date.
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

// Remove takes a machine out, if it is there.
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

// Height is about the height of a balanced tree of all machines: what a change costs, in machines looked at.
func (x *Index[T]) Height() int { return bits.Len(uint(len(x.entries))) }

// Get gives what is known of a machine; false if it is not there.
func (x *Index[T]) Get(name string) (Group, MachineCapacity, bool) {
	e := x.entries[name]
	if e == nil {
		return Group{}, MachineCapacity{}, false
	}
	return e.group.Group, e.capacity, true
}

// FitRequest is a task that looks for a machine.
type FitRequest[T any] struct {
	Need  resource.Amount
	Image string
	// Penalty is what the task would rather not have of a group, in degrees of warmth; false: it may not run
	// there.
	Penalty func(Group) (ImageState, bool)
	// Suits tells whether a machine that has the room will do, and how warm it is.
	Suits func(T) (ImageState, bool)
}

// MaxPenalty is the most that a penalty may be.
const MaxPenalty = 2

// BestFit finds the machine for a task: the warmest, counting penalties, and of these the one that has the
// least left, and of these the first by name. It gives the number of machines looked at.
func (x *Index[T]) BestFit(q FitRequest[T]) (found T, ok bool, looked int) {
	bit := BitOf(q.Image)
	type open struct {
		group   *group[T]
		penalty ImageState
	}
	var groups []open
	for _, g := range x.order {
		if penalty, may := q.Penalty(g.Group); may && g.byFree.root != nil {
			groups = append(groups, open{g, penalty})
		}
	}
	for degree := ImageReady; degree < ImageStates+MaxPenalty; degree++ {
		var best *entry[T]
		for _, o := range groups {
			warmth := degree - o.penalty
			if warmth < ImageReady || warmth >= ImageStates {
				continue
			}
			if e := o.group.bestFit(&q, warmth, bit, &looked); e != nil && (best == nil || e.tighter(best, q.Need)) {
				best = e
			}
		}
		if best != nil {
			return best.value, true, looked
		}
	}
	return found, false, looked
}

// bestFit finds the machine of a group that has the least left, of those of one degree of warmth.
func (g *group[T]) bestFit(q *FitRequest[T], warmth ImageState, bit ImageBit, looked *int) *entry[T] {
	return g.bestFitting(q.Need, warmth, bit, looked, func(e *entry[T]) bool {
		w, suits := q.Suits(e.value)
		return suits && w == warmth
	})
}

// Walk visits the machines of some groups, by name within each, except where skip says that none below some
// bounds is worth it. It gives the number of machines looked at.
func (x *Index[T]) Walk(within func(Group) bool, skip func(*Bounds) bool, visit func(T)) (looked int) {
	for _, g := range x.order {
		if g.byName.root == nil || !within(g.Group) {
			continue
		}
		g.refreshByName()
		g.byName.root.search(skip, func(e **entry[T]) bool {
			visit((*e).value)
			return false
		}, &looked)
	}
	return looked
}
