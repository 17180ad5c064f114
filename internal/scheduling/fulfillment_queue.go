package scheduling

import (
	"container/heap"

	"bitternwing/internal/resource"
)

// QueuePosition is a job's place in the order of submission.
type QueuePosition struct {
	QueuedMS int64 // Unix time since when it waits, in milliseconds
	ID       string
}

// Before orders jobs by age, and those of the same age by ID.
func (p QueuePosition) Before(other QueuePosition) bool {
	if p.QueuedMS != other.QueuedMS {
		return p.QueuedMS < other.QueuedMS
	}
	return p.ID < other.ID
}

// Candidate is a job to which more instances may be allocated. J is the caller's type for jobs.
type Candidate[J any] struct {
	Job       J
	Instances Instances
	Task      resource.Amount // that each of its tasks takes
	Position  QueuePosition
	NextTask  int // no task below this one is left to place
}

// FulfillmentQueue is a priority queue of candidates with the least fulfilled on top.
type FulfillmentQueue[J any] struct{ heap candidateHeap[J] }

// NewFulfillmentQueue makes a queue of elastic jobs. It takes over the slice.
func NewFulfillmentQueue[J any](candidates []*Candidate[J]) *FulfillmentQueue[J] {
	q := &FulfillmentQueue[J]{heap: candidates}
	heap.Init(&q.heap)
	return q
}

// Len is the number of candidates left.
func (q *FulfillmentQueue[J]) Len() int { return len(q.heap) }

// LeastFulfilled returns the candidate whose turn it is.
func (q *FulfillmentQueue[J]) LeastFulfilled() *Candidate[J] { return q.heap[0] }

// Drop removes the least fulfilled candidate.
func (q *FulfillmentQueue[J]) Drop() { heap.Pop(&q.heap) }

// Allocated counts one more instance of the least fulfilled candidate, which runs a task.
func (q *FulfillmentQueue[J]) Allocated(task int) {
	candidate := q.heap[0]
	candidate.Instances.Current++
	candidate.NextTask = task + 1
	heap.Fix(&q.heap, 0)
}

// lessFulfilled orders candidates by score; then by what an instance takes, the smaller first, since more of them find a
// machine; then by age.
func lessFulfilled[J any](a, b *Candidate[J]) bool {
	if x, y := a.Instances.Fulfillment(), b.Instances.Fulfillment(); x != y {
		return x < y
	}
	switch {
	case a.Task.GPUs != b.Task.GPUs:
		return a.Task.GPUs < b.Task.GPUs
	case a.Task.CPUs != b.Task.CPUs:
		return a.Task.CPUs < b.Task.CPUs
	case a.Task.MemoryGB != b.Task.MemoryGB:
		return a.Task.MemoryGB < b.Task.MemoryGB
	}
	return a.Position.Before(b.Position)
}

// candidateHeap implements heap.Interface.
type candidateHeap[J any] []*Candidate[J]

func (h candidateHeap[J]) Len() int           { return len(h) }
func (h candidateHeap[J]) Less(a, b int) bool { return lessFulfilled(h[a], h[b]) }
func (h candidateHeap[J]) Swap(a, b int)      { h[a], h[b] = h[b], h[a] }

// Push appends a candidate; only package heap calls it.
func (h *candidateHeap[J]) Push(x any) { *h = append(*h, x.(*Candidate[J])) }

// Pop removes the last candidate; only package heap calls it.
func (h *candidateHeap[J]) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
