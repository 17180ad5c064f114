package core

import (
	"bitternwing/internal/wire"
)

// room is what is free of a machine.
type room struct{ gpus, cpus, mem float64 }

func (r room) holds(s *wire.Job) bool {
	const eps = 1e-9
	return r.gpus+eps >= s.GPUs && r.cpus+eps >= s.CPUs && r.mem+eps >= s.MemoryGB
}

func (r *room) take(s *wire.Job) { r.gpus -= s.GPUs; r.cpus -= s.CPUs; r.mem -= s.MemoryGB }
func (r *room) give(s *wire.Job) { r.gpus += s.GPUs; r.cpus += s.CPUs; r.mem += s.MemoryGB }

// resourceRequest is what a task needs of a machine, where any of its kind will do.
type resourceRequest struct {
	room
	spot       bool
	zone, kind string
}

// requestOf gives a job's resource request; false if more than that decides where it may run.
func requestOf(j *job) (resourceRequest, bool) {
	s := j.spec
	if s.OneZone || s.Spread || len(j.failed) > 0 || len(s.Types) > 1 {
		return resourceRequest{}, false
	}
	a := resourceRequest{room: room{s.GPUs, s.CPUs, s.MemoryGB}, spot: s.Spot, zone: s.Zone}
	if len(s.Types) == 1 {
		a.kind = s.Types[0]
	}
	return a, true
}
