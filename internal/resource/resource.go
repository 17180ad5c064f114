// Package resource implements arithmetic on the resources that machines offer and tasks request.
package resource

import "bitternwing/internal/wire"

// tolerance is the largest rounding error that amounts, which are given as decimal fractions, may accumulate by
// additions and subtractions.
const tolerance = 1e-9

// Amount is an amount of each resource. ReportBytes is the size of the tasks in the heartbeats of their machine: the
// protocol bounds the size of a heartbeat, so a machine holds no more tasks than it can report.
type Amount struct{ GPUs, CPUs, MemoryGB, ReportBytes float64 }

// OfTask returns the resources that one task of a job requests.
func OfTask(j *wire.Job) Amount {
	return Amount{GPUs: j.GPUs, CPUs: j.CPUs, MemoryGB: j.MemoryGB, ReportBytes: float64(j.TaskReportBytes())}
}

// OfMachine returns the resources of a machine of the given type.
func OfMachine(t *wire.MachineType) Amount {
	return Amount{GPUs: t.GPUs, CPUs: t.CPUs, MemoryGB: t.MemoryGB, ReportBytes: wire.MaxTaskReportBytes}
}

// Covers reports whether a is at least b in each resource, within the tolerance.
func (a Amount) Covers(b Amount) bool {
	return a.GPUs+tolerance >= b.GPUs && a.CPUs+tolerance >= b.CPUs && a.MemoryGB+tolerance >= b.MemoryGB &&
		a.ReportBytes >= b.ReportBytes
}

// Subtract subtracts b from a.
func (a *Amount) Subtract(b Amount) {
	a.GPUs -= b.GPUs
	a.CPUs -= b.CPUs
	a.MemoryGB -= b.MemoryGB
	a.ReportBytes -= b.ReportBytes
}

// Fit returns how many tasks that request an amount a covers together, at most the limit.
func (a Amount) Fit(task Amount, limit int) int {
	limit = quotient(a.GPUs, task.GPUs, limit)
	limit = quotient(a.CPUs, task.CPUs, limit)
	limit = quotient(a.MemoryGB, task.MemoryGB, limit)
	return max(0, quotient(a.ReportBytes, task.ReportBytes, limit))
}

// quotient returns how many times a requested amount is available, at most the limit.
func quotient(available, requested float64, limit int) int {
	if available+tolerance < requested {
		return 0
	}
	if requested <= 0 {
		return limit
	}
	if times := (available + tolerance) / requested; times < float64(limit) {
		return int(times)
	}
	return limit
}

// SubtractTasks subtracts the amounts that a number of tasks request.
func (a *Amount) SubtractTasks(task Amount, tasks int) {
	a.GPUs -= float64(tasks) * task.GPUs
	a.CPUs -= float64(tasks) * task.CPUs
	a.MemoryGB -= float64(tasks) * task.MemoryGB
	a.ReportBytes -= float64(tasks) * task.ReportBytes
}

// Add adds b to a.
func (a *Amount) Add(b Amount) {
	a.GPUs += b.GPUs
	a.CPUs += b.CPUs
	a.MemoryGB += b.MemoryGB
	a.ReportBytes += b.ReportBytes
}

// CappedBy returns the smaller of a and b in each resource. Negative amounts of b count as 0.
func (a Amount) CappedBy(b Amount) Amount {
	return Amount{
		GPUs:        min(a.GPUs, max(0, b.GPUs)),
		CPUs:        min(a.CPUs, max(0, b.CPUs)),
		MemoryGB:    min(a.MemoryGB, max(0, b.MemoryGB)),
		ReportBytes: min(a.ReportBytes, max(0, b.ReportBytes)),
	}
}
