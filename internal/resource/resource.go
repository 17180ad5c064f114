// Package resource is the arithmetic of the resources that machines have and tasks take.
package resource

import "bitternwing/internal/wire"

// tolerance is the rounding error that amounts, given as decimal numbers, may have after additions and subtractions.
const tolerance = 1e-9

// Amount is an amount of each resource.
type Amount struct{ GPUs, CPUs, MemoryGB float64 }

// OfTask gives the resources that a task of a job takes.
func OfTask(j *wire.Job) Amount { return Amount{j.GPUs, j.CPUs, j.MemoryGB} }

// OfMachine gives the resources of a machine of a type.
func OfMachine(t *wire.MachineType) Amount { return Amount{t.GPUs, t.CPUs, t.MemoryGB} }

// Covers tells whether there is at least as much as another amount of each resource.
func (a Amount) Covers(b Amount) bool {
	return a.GPUs+tolerance >= b.GPUs && a.CPUs+tolerance >= b.CPUs && a.MemoryGB+tolerance >= b.MemoryGB
}

// Subtract subtracts an amount.
func (a *Amount) Subtract(b Amount) {
	a.GPUs -= b.GPUs
	a.CPUs -= b.CPUs
	a.MemoryGB -= b.MemoryGB
}

// Add adds an amount.
func (a *Amount) Add(b Amount) {
	a.GPUs += b.GPUs
	a.CPUs += b.CPUs
	a.MemoryGB += b.MemoryGB
}

// CappedBy limits each resource to that of another amount, of which negative ones count as 0.
func (a Amount) CappedBy(b Amount) Amount {
	return Amount{min(a.GPUs, max(0, b.GPUs)), min(a.CPUs, max(0, b.CPUs)), min(a.MemoryGB, max(0, b.MemoryGB))}
}
