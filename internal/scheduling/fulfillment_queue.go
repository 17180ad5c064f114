package scheduling

import (
	"container/heap"

	"bitternwing/internal/resource"
)

// QueuePosition is the position of a job in submission order.
type QueuePosition struct {
	QueuedMS int64 // Unix time in milliseconds at which the job was queued
	ID       string
}

// Before orders jobs by queue time, oldest first, and breaks ties by ID.
func (p QueuePosition) Before(other QueuePosition) bool {
	if p.QueuedMS != other.QueuedMS {
		return p.QueuedMS < other.QueuedMS
	}
	return p.ID < other.ID
}

// Candidate is a job to which more instances may be allocated. J is the caller's job type.
type Candidate[J any] struct {
	Job       J
	Instances Instances
	Task      resource.Amount // resources of each task of the job
	Position  QueuePosition
	NextTask  int // lowest task index that may still have to be placed
}

// FulfillmentQueue is a priority queue of candidates. The least fulfilled candidate is at the top.
type FulfillmentQueue[J any] struct{ heap candidateHeap[J] }

// NewFulfillmentQueue returns a queue of elastic jobs. The queue takes ownership of the slice.
func NewFulfillmentQueue[J any](candidates []*Candidate[J]) *FulfillmentQueue[J] {
	q := &FulfillmentQueue[J]{heap: candidates}
	heap.Init(&q.heap)
	return q
}

// Len returns the number of candidates in the queue.
func (q *FulfillmentQueue[J]) Len() int { return len(q.heap) }

// LeastFulfilled returns the candidate at the top of the queue. The queue must not be empty.
func (q *FulfillmentQueue[J]) LeastFulfilled() *Candidate[J] { return q.heap[0] }

// RemoveLeastFulfilled removes the candidate at the top of the queue.
func (q *FulfillmentQueue[J]) RemoveLeastFulfilled() { heap.Pop(&q.heap) }

// RecordAllocation adds one instance, which runs the given task, to the least fulfilled candidate, and reorders the
// queue.
func (q *FulfillmentQueue[J]) RecordAllocation(task int) {
	candidate := q.heap[0]
	candidate.Instances.Current++
	candidate.NextTask = task + 1
	heap.Fix(&q.heap, 0)
}

// lessFulfilled orders candidates by fulfillment score, then by the resources of a task, then by queue position.
// Smaller tasks come first because more of them fit on the machines.
func lessFulfilled[J any](a, b *Candidate[J]) bool {
	if scoreA, scoreB := a.Instances.Fulfillment(), b.Instances.Fulfillment(); scoreA != scoreB {
		return scoreA < scoreB
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

// Push appends a candidate. It is called by package heap only.
func (h *candidateHeap[J]) Push(x any) { *h = append(*h, x.(*Candidate[J])) }

// Pop removes the last candidate. It is called by package heap only.
func (h *candidateHeap[J]) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
