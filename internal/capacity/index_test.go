package capacity

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"bitternwing/internal/resource"
)

// generatedMachine is a randomly generated machine with the tasks that may be preempted on it.
type generatedMachine struct {
	group       Group
	size        resource.Amount
	capacity    MachineCapacity
	tasks       [Ranks][]resource.Amount
	imageStates map[string]ImageState
}

var images = []string{"a", "b", "c"}

func drawInt(t *rapid.T, label string, minimum, maximum int) int {
	return rapid.IntRange(minimum, maximum).Draw(t, label)
}

func drawAmount(t *rapid.T, label string, maximum int) resource.Amount {
	return resource.Amount{GPUs: float64(drawInt(t, label+" gpus", 0, maximum)) / 2, CPUs: float64(drawInt(t, label+" cpus", 0, 2*maximum)), MemoryGB: float64(drawInt(t, label+" memory", 0, maximum))}
}

func generateMachine(t *rapid.T, name string) *generatedMachine {
	m := &generatedMachine{group: Group{Type: rapid.SampledFrom([]string{"g", "h"}).Draw(t, "type"), Zone: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "zone"), Spot: rapid.Bool().Draw(t, "spot")},
		size: resource.Amount{GPUs: 4, CPUs: 16, MemoryGB: 8}, imageStates: map[string]ImageState{}}
	if m.group.Type == "h" {
		m.size.GPUs = 0
	}
	m.capacity = MachineCapacity{Name: name, Free: drawAmount(t, "free", 8)}
	m.capacity.FreeAfterStops = m.capacity.Free
	m.capacity.FreeAfterStops.Add(drawAmount(t, "stopping", 2))
	for rank := range Ranks {
		for range drawInt(t, "tasks", 0, 2) {
			task := drawAmount(t, "task", 4)
			m.tasks[rank] = append(m.tasks[rank], task)
			m.capacity.Preemptible[rank].Add(task)
		}
	}
	absentState := ImageAbsent
	for _, image := range images {
		switch drawInt(t, "image", 0, 4) {
		case 0:
			m.capacity.Images.Ready.Add(BitOf(image))
			m.imageStates[image] = ImageReady
		case 1:
			m.capacity.Images.Fetching.Add(BitOf(image))
			m.imageStates[image] = ImageFetching
			absentState = ImageFetchShared
		}
	}
	for _, image := range images {
		if _, has := m.imageStates[image]; !has {
			m.imageStates[image] = absentState
		}
	}
	return m
}

// checkTree checks the order, the heap property and the summaries of a subtree, and returns its values in order.
func checkTree[V, S any](t *rapid.T, tree *treap[V, S], root *node[V, S]) []V {
	if root == nil {
		return nil
	}
	left, right := checkTree(t, tree, root.left), checkTree(t, tree, root.right)
	values := append(append(left, root.value), right...)
	summary := tree.summarize(&values[0])
	for i := 1; i < len(values); i++ {
		s := tree.summarize(&values[i])
		tree.combine(&summary, &s, false)
		if !tree.before(&values[i-1], &values[i]) {
			t.Fatalf("%v is not before %v", values[i-1], values[i])
		}
	}
	if fmt.Sprint(summary) != fmt.Sprint(root.subtreeSummary) {
		t.Fatalf("summary is %+v, want %+v", root.subtreeSummary, summary)
	}
	for _, child := range []*node[V, S]{root.left, root.right} {
		if child != nil && child.priority > root.priority {
			t.Fatal("a child has a higher priority than its parent")
		}
	}
	return values
}

// exhaustiveBestFit returns the machine that BestFit has to return, found by evaluating every machine.
func exhaustiveBestFit(machines map[string]*generatedMachine, request FitRequest[string], image string) string {
	best, bestScore := "", math.Inf(1)
	for _, name := range machineNames {
		m := machines[name]
		if m == nil || !m.capacity.Free.Covers(request.Required) {
			continue
		}
		penalty, allowed := request.Penalty(m.group)
		if !allowed {
			continue
		}
		left := (m.capacity.Free.GPUs - request.Required.GPUs) / max(m.size.GPUs, 1)
		if m.size.GPUs == 0 {
			left = (m.capacity.Free.CPUs - request.Required.CPUs) / m.size.CPUs
		}
		if score := left + 2*float64(m.imageStates[image]+penalty); score < bestScore {
			best, bestScore = name, score
		}
	}
	return best
}

// machineNames are the names of all machines that may be generated, in order.
var machineNames = func() []string {
	var all []string
	for i := range 60 {
		all = append(all, fmt.Sprintf("m%02d", i))
	}
	return all
}()

// TestIndex adds, updates and removes machines. It checks that the trees stay consistent and that BestFit returns the
// same machine as an exhaustive search.
func TestIndex(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		index, machines := NewIndex[string](), map[string]*generatedMachine{}
		for range drawInt(t, "changes", 1, 80) {
			name := rapid.SampledFrom(machineNames).Draw(t, "name")
			if drawInt(t, "kind", 0, 3) == 0 {
				index.Remove(name)
				delete(machines, name)
				continue
			}
			m := generateMachine(t, name)
			machines[name] = m
			index.Put(m.group, m.size, m.capacity, name)
		}
		seen := 0
		for _, g := range index.sortedGroups {
			seen += len(checkTree(t, &g.byFree, g.byFree.root))
			g.refreshNameTree()
			checkTree(t, &g.byName, g.byName.root)
		}
		if seen != len(machines) || index.Len() != len(machines) {
			t.Fatalf("the trees hold %d machines, want %d", seen, len(machines))
		}
		image := rapid.SampledFrom(images).Draw(t, "wanted image")
		spotOnly, prefersSpot := rapid.Bool().Draw(t, "spot only"), rapid.Bool().Draw(t, "prefers spot")
		request := FitRequest[string]{Required: drawAmount(t, "required", 8), Image: image,
			Penalty: func(g Group) (ImageState, bool) {
				if prefersSpot && !g.Spot {
					return MaxPenalty, !spotOnly
				}
				return 0, g.Spot || !spotOnly
			},
			Feasible: func(name string) (ImageState, bool) { return machines[name].imageStates[image], true }}
		want := exhaustiveBestFit(machines, request, image)
		if got, ok, _ := index.BestFit(request); got != want || ok != (want != "") {
			t.Fatalf("BestFit returns %q, want %q", got, want)
		}
	})
}

// exhaustiveMinCost returns the lowest cost of preemption on the machine over all subsets of the tasks.
func (m *generatedMachine) exhaustiveMinCost(required resource.Amount, belowRank int, image string) (best Cost, possible bool) {
	var tasks []resource.Amount
	idle := 0
	for rank := range belowRank {
		tasks = append(tasks, m.tasks[rank]...)
		if rank == 0 {
			idle = len(tasks)
		}
	}
	for chosen := range 1 << len(tasks) {
		free, cost := m.capacity.FreeAfterStops, Cost{ImageState: m.imageStates[image]}
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
		if free.Covers(required) && (!possible || cost.Less(best)) {
			best, possible = cost, true
		}
	}
	return best, possible
}

// TestBoundsAreLowerBounds combines the bounds of several machines. It checks that preemption on any of them costs no
// less than the bound, and that FirstName is the lowest name.
func TestBoundsAreLowerBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var machines []*generatedMachine
		for i := range drawInt(t, "machines", 1, 4) {
			machines = append(machines, generateMachine(t, machineNames[i]))
		}
		bounds := newBounds(&machines[len(machines)-1].capacity)
		for i := len(machines) - 2; i >= 0; i-- {
			b := newBounds(&machines[i].capacity)
			combineBounds(&bounds, &b, true)
		}
		if bounds.FirstName != machineNames[0] {
			t.Fatalf("FirstName is %s", bounds.FirstName)
		}
		required, belowRank := drawAmount(t, "required", 8), drawInt(t, "below", 0, AllRanks)
		image := rapid.SampledFrom(images).Draw(t, "wanted image")
		lowerBound, possible := bounds.MinCost(required, belowRank, BitOf(image))
		for _, m := range machines {
			cost, canPreempt := m.exhaustiveMinCost(required, belowRank, image)
			if canPreempt && (!possible || cost.Less(lowerBound)) {
				t.Fatalf("cost of %s is %+v, below the bound %+v (possible: %v)", m.capacity.Name, cost, lowerBound, possible)
			}
		}
	})
}
