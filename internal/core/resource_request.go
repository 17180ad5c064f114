package core

import "bitternwing/internal/resource"

// resourceRequest is what a task needs of a machine, if any machine with that will do.
type resourceRequest struct {
	resource.Amount
	spot              bool
	zone, machineType string
}

// requestOf gives a job's resource request; false if more than that decides where its next task may run.
func requestOf(j *job) (resourceRequest, bool) {
	s := j.spec
	if s.SingleZone || s.SpreadZones || len(j.failedOn) > 0 || len(s.MachineTypes) > 1 {
		return resourceRequest{}, false
	}
	request := resourceRequest{Amount: resource.OfTask(s), spot: s.Spot, zone: s.Zone}
	if len(s.MachineTypes) == 1 {
		request.machineType = s.MachineTypes[0]
	}
	return request, true
}
