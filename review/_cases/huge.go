package main

import (
	"fmt"
	"time"

	"bitternwing/internal/wire"
)

const (
	// hugeTasks is the protocol's limit on the tasks of a job, and hugeJobs is how many such jobs are submitted.
	hugeTasks = 100_000
	hugeJobs  = 4
	// notLearnt is for how long no question about a job may stay without an answer.
	notLearnt = 75 * time.Second
)

// khilgate is Khilgate's deployment in Ulaanbaatar with four machines, two of them up at the start.
func khilgate() site {
	return site{zones: []string{"uln-north", "uln-south"}, leaseS: 11, cancelS: 31, valueKB: 16, txnOps: 48, rps: 200, writeRPS: 60,
		cloudRPS: 8, listLagS: 3, share: 0.096, sockets: 700, machines: 4, running: 1,
		teams: "[[params.teams]]\nname = \"altanbroker\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 56.0\ngpus_max = 88.0\n" +
			"[[params.teams]]\nname = \"khurdbroker\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 88.0\ngpus_max = 312.0\n",
		machine: wire.MachineType{Name: "gobi64", CPUs: 64, GPUs: 8, MemoryGB: 384, CacheGB: 400, FetchGBPerS: 2.3, Price: 15.94,
			SpotPrice: 5.04, BootS: 40, Zones: []string{"uln-north", "uln-south"}}}
}

// railrushstag returns a service of the class railrushstag.
func railrushstag(id, team string, tasks int) *wire.Job {
	return &wire.Job{ID: id, Class: "railrushstag", Team: team, Kind: wire.KindService, Priority: wire.PriorityHigh, Tasks: tasks,
		CPUs: 5, GPUs: 1, MemoryGB: 25, Image: "img-07", ImageGB: 0.5}
}

// caseHuge has users submit services of as many tasks as the protocol allows, which their team's limit allows too.
// Another user has to get answers about a job that runs.
func caseHuge(e *environment) (string, error) {
	e.site = khilgate()
	if err := e.setUp(3); err != nil {
		return "", err
	}
	first := railrushstag("run-000401", "altanbroker", 5)
	if status := e.submit(first); status != 201 {
		return "", cantRun("%s: status %d", first.ID, status)
	}
	if err := e.waitFor("the first service runs", setUpLimit, func() bool { return e.running(first.ID) == first.Tasks }); err != nil {
		return "", err
	}
	for _, id := range []string{"run-000402", "run-000403"} {
		if status := e.submit(railrushstag(id, "altanbroker", 1)); status != 201 {
			return "", cantRun("%s: status %d", id, status)
		}
	}
	if e.trouble {
		for i := range hugeJobs {
			huge := railrushstag(fmt.Sprintf("run-00041%d", i), "khurdbroker", hugeTasks)
			huge.GPUs, huge.CPUs = 0, e.site.machine.CPUs
			go e.submit(huge)
		}
	}
	began := time.Now()
	lastAnswer, longest, asked, answered, least := began, time.Duration(0), 0, 0, first.Tasks
	for i := 0; e.now() < 112*time.Second && longest < notLearnt+2*time.Second; i++ {
		sent := time.Now()
		asked++
		if status, _ := e.poll(i, first.ID); status == 200 {
			lastAnswer = time.Now()
			answered++
		}
		longest = max(longest, time.Since(lastAnswer))
		if running := e.running(first.ID); running < least {
			least = running
			e.record("%d of %d tasks of %s run", running, first.Tasks, first.ID)
		}
		time.Sleep(time.Until(sent.Add(500 * time.Millisecond)))
	}
	e.record("%d of %d questions about %s answered; the longest time without an answer is %.1f s; at the least %d of its %d tasks ran",
		answered, asked, first.ID, longest.Seconds(), least, first.Tasks)
	if longest >= notLearnt {
		return fmt.Sprintf("for %.0f s no question about %s was answered, and at the least %d of its %d tasks ran",
			longest.Seconds(), first.ID, least, first.Tasks), nil
	}
	return "", nil
}
