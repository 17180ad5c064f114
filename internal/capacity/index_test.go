package capacity

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"bitternwing/internal/resource"
)

// drawn is a machine that was drawn, with the tasks that could be stopped on it.
type drawn struct {
	group       Group
	size        resource.Amount
	capacity    MachineCapacity
	tasks       [Ranks][]resource.Amount
	imageStates map[string]ImageState
}

var images = []string{"a", "b", "c"}

func number(t *rapid.T, what string, least, most int) int {
	return rapid.IntRange(least, most).Draw(t, what)
}

func amount(t *rapid.T, what string, most int) resource.Amount {
	return resource.Amount{GPUs: float64(number(t, what+" gpus", 0, most)) / 2, CPUs: float64(number(t, what+" cpus", 0, 2*most)), MemoryGB: float64(number(t, what+" memory", 0, most))}
}

func drawMachine(t *rapid.T, name string) *drawn {
	d := &drawn{group: Group{Type: rapid.SampledFrom([]string{"g", "h"}).Draw(t, "type"), Zone: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "zone"), Spot: rapid.Bool().Draw(t, "spot")},
		size: resource.Amount{GPUs: 4, CPUs: 16, MemoryGB: 8}, imageStates: map[string]ImageState{}}
	if d.group.Type == "h" {
		d.size.GPUs = 0
	}
	d.capacity = MachineCapacity{Name: name, Free: amount(t, "free", 8)}
	d.capacity.FreeAfterStops = d.capacity.Free
	d.capacity.FreeAfterStops.Add(amount(t, "soon", 2))
	for rank := range Ranks {
		for range number(t, "tasks", 0, 2) {
			task := amount(t, "task", 4)
			d.tasks[rank] = append(d.tasks[rank], task)
			d.capacity.Preemptible[rank].Add(task)
		}
	}
	other := ImageAbsent
	for _, image := range images {
		switch number(t, "image", 0, 4) {
		case 0:
			d.capacity.Images.Ready.Add(BitOf(image))
			d.imageStates[image] = ImageReady
		case 1:
			d.capacity.Images.Fetching.Add(BitOf(image))
			d.imageStates[image] = ImageFetching
			other = ImageFetchShared
		}
	}
	for _, image := range images {
		if _, has := d.imageStates[image]; !has {
			d.imageStates[image] = other
		}
	}
	return d
}

// checkTree checks order, heap and summaries below a node, and gives its values.
func checkTree[V, S any](t *rapid.T, tree *treap[V, S], n *node[V, S]) []V {
	if n == nil {
		return nil
	}
	left, right := checkTree(t, tree, n.left), checkTree(t, tree, n.right)
	all := append(append(left, n.value), right...)
	sum := tree.summarize(&all[0])
	for i := 1; i < len(all); i++ {
		s := tree.summarize(&all[i])
		tree.join(&sum, &s, false)
		if !tree.before(&all[i-1], &all[i]) {
			t.Fatalf("%v is not before %v", all[i-1], all[i])
		}
	}
	if fmt.Sprint(sum) != fmt.Sprint(n.all) {
		t.Fatalf("a summary is %+v, not %+v", n.all, sum)
	}
	for _, child := range []*node[V, S]{n.left, n.right} {
		if child != nil && child.priority > n.priority {
			t.Fatal("a child has a higher priority")
		}
	}
	return all
}

// scanTightest finds what Tightest is to find, by a look at each machine.
func scanTightest(machines map[string]*drawn, q FitRequest[string], image string) string {
	best, bestScore := "", math.Inf(1)
	for _, name := range names {
		d := machines[name]
		if d == nil || !d.capacity.Free.Covers(q.Need) {
			continue
		}
		penalty, may := q.Penalty(d.group)
		if !may {
			continue
		}
		left := (d.capacity.Free.GPUs - q.Need.GPUs) / max(d.size.GPUs, 1)
		if d.size.GPUs == 0 {
			left = (d.capacity.Free.CPUs - q.Need.CPUs) / d.size.CPUs
		}
		if score := left + 2*float64(d.imageStates[image]+penalty); score < bestScore {
			best, bestScore = name, score
		}
	}
	return best
}

// names are those of all machines that can be drawn, in order.
var names = func() []string {
	var all []string
	for i := range 60 {
		all = append(all, fmt.Sprintf("m%02d", i))
	}
	return all
}()

// TestIndex puts machines in, changes and removes them. The trees stay in order, and the tightest machine is the one
// that a look at each finds.
func TestIndex(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x, machines := NewIndex[string](), map[string]*drawn{}
		for range number(t, "changes", 1, 80) {
			name := rapid.SampledFrom(names).Draw(t, "name")
			if number(t, "kind", 0, 3) == 0 {
				x.Remove(name)
				delete(machines, name)
				continue
			}
			d := drawMachine(t, name)
			machines[name] = d
			x.Put(d.group, d.size, d.capacity, name)
		}
		seen := 0
		for _, g := range x.order {
			seen += len(checkTree(t, &g.byFree, g.byFree.root))
			g.refreshByName()
			checkTree(t, &g.byName, g.byName.root)
		}
		if seen != len(machines) || x.Len() != len(machines) {
			t.Fatalf("%d machines in the trees, of %d", seen, len(machines))
		}
		image := rapid.SampledFrom(images).Draw(t, "wanted image")
		spotOnly, prefersSpot := rapid.Bool().Draw(t, "spot only"), rapid.Bool().Draw(t, "prefers spot")
		q := FitRequest[string]{Need: amount(t, "need", 8), Image: image,
			Penalty: func(g Group) (ImageState, bool) {
				if prefersSpot && !g.Spot {
					return MaxPenalty, !spotOnly
				}
				return 0, g.Spot || !spotOnly
			},
			Suits: func(name string) (ImageState, bool) { return machines[name].imageStates[image], true }}
		want := scanTightest(machines, q, image)
		if got, ok, _ := x.BestFit(q); got != want || ok != (want != "") {
			t.Fatalf("%q, not %q", got, want)
		}
	})
}

// leastCost is the lowest cost of preemption on a machine, whichever tasks are stopped.
func (d *drawn) leastCost(need resource.Amount, below int, image string) (best Cost, possible bool) {
	var tasks []resource.Amount
	idle := 0
	for rank := range below {
		tasks = append(tasks, d.tasks[rank]...)
		if rank == 0 {
			idle = len(tasks)
		}
	}
	for chosen := range 1 << len(tasks) {
		free, cost := d.capacity.FreeAfterStops, Cost{ImageState: d.imageStates[image]}
		for i, task := range tasks {
			if chosen&(1<<i) == 0 {
				continue
			}
			free.Add(task)
			if i < idle {
				cost.IdleStops++
			} else {
				cost.Stops++
			}
		}
		if free.Covers(need) && (!possible || cost.Less(best)) {
			best, possible = cost, true
		}
	}
	return best, possible
}

// TestBounds joins the bounds of some machines: preemption costs no less on any of them, and the first name is
// that of the first.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var machines []*drawn
		for i := range number(t, "machines", 1, 4) {
			machines = append(machines, drawMachine(t, names[i]))
		}
		bounds := newBounds(&machines[len(machines)-1].capacity)
		for i := len(machines) - 2; i >= 0; i-- {
			b := newBounds(&machines[i].capacity)
			joinBounds(&bounds, &b, true)
		}
		if bounds.FirstName != names[0] {
			t.Fatalf("the first is %s", bounds.FirstName)
		}
		need, below := amount(t, "need", 8), number(t, "below", 0, AllRanks)
		image := rapid.SampledFrom(images).Draw(t, "wanted image")
		least, possible := bounds.MinCost(need, below, BitOf(image))
		for _, d := range machines {
			cost, can := d.leastCost(need, below, image)
			if can && (!possible || cost.Less(least)) {
				t.Fatalf("%s preempts for %+v, the bound is %+v, %v", d.capacity.Name, cost, least, possible)
			}
		}
	})
}
