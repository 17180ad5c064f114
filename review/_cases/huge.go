package main

import (
	"fmt"
	"time"
)

// hugeTasks is the protocol's limit on the tasks of a job.
const hugeTasks = 100_000

// caseHuge has a user submit a service of as many tasks as the protocol allows, which its team's limit allows too. A
// small job that is submitted after it has to run, since a machine has room for it.
func caseHuge(e *environment) (string, error) {
	e.site = tenantcheck()
	e.site.teams += "[[params.teams]]\nname = \"riskdesk-01\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 24.0\ngpus_max = 80.0\n"
	if err := e.setUp(3); err != nil {
		return "", err
	}
	first, small := surgewren("run-000401", 4), surgewren("run-000403", 1)
	if status := e.submit(first); status != 201 {
		return "", cantRun("%s: status %d", first.ID, status)
	}
	if err := e.waitFor("the first service runs, and a second machine is up", 40*time.Second, func() bool {
		return e.running(first.ID) == 4 && len(e.allWorkers()) == 2
	}); err != nil {
		return "", err
	}
	idle := e.allWorkers()[0]
	if idle.freeGPUs() != 8 {
		idle = e.allWorkers()[1]
	}
	huge := surgewren("run-000402", hugeTasks)
	huge.Team, huge.GPUs, huge.CPUs, huge.MemoryGB = "riskdesk-01", 0, e.site.machine.CPUs, 40
	if e.trouble {
		if status := e.submit(huge); status != 201 {
			return "", cantRun("%s: status %d", huge.ID, status)
		}
		time.Sleep(2 * time.Second)
	}
	if status := e.submit(small); status != 201 {
		return "", cantRun("%s: status %d", small.ID, status)
	}
	accepted := time.Now()
	answered, asked := 0, 0
	for i := 0; time.Since(accepted) < leftWaiting; i++ {
		if e.running(small.ID) == 1 {
			e.record("%s runs %.1f s after it was accepted", small.ID, time.Since(accepted).Seconds())
			return "", nil
		}
		asked++
		if status, _ := e.poll(i, first.ID); status == 200 {
			answered++
		}
		time.Sleep(500 * time.Millisecond)
	}
	return fmt.Sprintf("%s was accepted and still waits %.0f s later, while %s had %g of 8 GPUs free; of %d questions about a running job %d were answered",
		small.ID, time.Since(accepted).Seconds(), idle.spec.Name, idle.freeGPUs(), asked, answered), nil
}
