package core

import "bitternwing/internal/resource"

// resourceRequest is what a task requires of a machine, for jobs without constraints beyond that.
type resourceRequest struct {
	resource.Amount
	spot              bool
	zone, machineType string
}

// resourceRequestOf returns the resource request of a job; false if the job has further constraints on the machine of
// its next task.
func resourceRequestOf(j *job) (resourceRequest, bool) {
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
