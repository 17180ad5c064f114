package main

import (
	"fmt"
	"time"

	"bitternwing/internal/wire"
)

// tenantcheck is Tenantcheck's deployment in Port of Spain with two machines.
func tenantcheck() site {
	return site{zones: []string{"pos-east"}, leaseS: 10, cancelS: 30, valueKB: 16, txnOps: 12, rps: 150, writeRPS: 60,
		cloudRPS: 2, listLagS: 5, share: 0.06, sockets: 600, machines: 2,
		teams: "[[params.teams]]\nname = \"riskdesk-00\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 24.0\ngpus_max = 80.0\n",
		machine: wire.MachineType{Name: "caroni48", CPUs: 48, GPUs: 8, MemoryGB: 288, CacheGB: 300, FetchGBPerS: 4.6, Price: 17.4,
			SpotPrice: 7.24, BootS: 45, Zones: []string{"pos-east"}}}
}

// surgewren returns a service of the class surgewren.
func surgewren(id string, tasks int) *wire.Job {
	return &wire.Job{ID: id, Class: "surgewren", Team: "riskdesk-00", Kind: wire.KindService, Priority: wire.PriorityHigh, Tasks: tasks,
		CPUs: 8, GPUs: 2, MemoryGB: 40, Image: "img-07", ImageGB: 34.3}
}

// leftWaiting is how long a job may be left waiting once the troubles are over, while a machine that fits has room.
const leftWaiting = 90 * time.Second

// caseWaiting has a machine fail the tasks that it starts for a few seconds. A job that failed there once has to run
// within 90 s after that, since the machine has room for it.
func caseWaiting(e *environment) (string, error) {
	e.site = tenantcheck()
	if err := e.setUp(3); err != nil {
		return "", err
	}
	full, other, late, probe := surgewren("run-000101", 4), surgewren("run-000102", 1), surgewren("run-000103", 1), surgewren("run-000104", 1)
	for _, j := range []*wire.Job{full, other} {
		if status := e.submit(j); status != 201 {
			return "", cantRun("%s: status %d", j.ID, status)
		}
	}
	if err := e.waitFor("both services run", setUpLimit, func() bool { return e.running(full.ID) == 4 && e.running(other.ID) == 1 }); err != nil {
		return "", err
	}
	roomy := e.machineOf(other.ID)
	if roomy.freeGPUs() != 6 {
		return "", cantRun("the services are not on the machines as expected")
	}
	if e.trouble {
		roomy.setFaulty(true)
	}
	if status := e.submit(late); status != 201 {
		return "", cantRun("%s: status %d", late.ID, status)
	}
	if e.trouble {
		time.Sleep(4 * time.Second)
		roomy.setFaulty(false)
	}
	over := time.Now()
	e.record("the trouble is over; %s has %g GPUs free", roomy.spec.Name, roomy.freeGPUs())
	if status := e.submit(probe); status != 201 {
		return "", cantRun("%s: status %d", probe.ID, status)
	}
	hasRoom := true
	for i := 0; time.Since(over) < leftWaiting; i++ {
		if e.running(late.ID) == 1 {
			e.record("%s runs %.1f s after the trouble", late.ID, time.Since(over).Seconds())
			return "", nil
		}
		hasRoom = hasRoom && roomy.freeGPUs() >= late.GPUs
		if i%50 == 0 {
			e.poll(i/50, late.ID)
		}
		time.Sleep(100 * time.Millisecond)
	}
	e.record("%s: runs: %v, and was submitted after the trouble", probe.ID, e.running(probe.ID) == 1)
	if !hasRoom {
		return "", cantRun("the machine was full at times")
	}
	return fmt.Sprintf("%s was accepted and still waits %.0f s after the trouble, while %s had room for it all the time (%g of 8 GPUs are free)",
		late.ID, time.Since(over).Seconds(), roomy.spec.Name, roomy.freeGPUs()), nil
}
