package main

import (
	"sync"
	"time"

	"bitternwing/internal/wire"
	"bitternwing/review/_cases-2/lab"
)

func init() { cases["left_waiting"] = leftWaiting }

// leftWaiting: a machine stops with all that is on it, and the cloud has no other. The service that ran there does not
// fit on what is left. A smaller one that is submitted afterwards does.
func leftWaiting(folder string) {
	l := lab.New(lab.Pos(), folder)
	var mu sync.Mutex
	machineOf := map[string]string{}
	l.Jobs.OnRun = func(machine, task string) {
		mu.Lock()
		defer mu.Unlock()
		machineOf[task] = machine
	}
	on := func(task string) string {
		mu.Lock()
		defer mu.Unlock()
		return machineOf[task]
	}
	l.Start(2)
	l.AwaitLeader(10 * time.Second)
	surge := func(id string, tasks int) *wire.Job {
		job := lab.Service(id, "riskdesk-00", tasks, 2)
		job.Class, job.Priority, job.ImageGB = "surgewren", wire.PriorityHigh, 2.3
		return job
	}
	large, small, later := surge("run-000101", 4), surge("run-000102", 2), surge("run-000103", 1)
	for _, job := range []*wire.Job{large, small} {
		l.SubmitUntilAccepted("user", job, 10*time.Second, l.Controllers...)
		awaitJob(l, job, 15*time.Second)
	}
	lost, left := on("run-000101/0"), on("run-000102/0")
	for i := range large.Tasks {
		if on(wire.TaskName(large.ID, i)) != lost || lost == left || on("run-000102/1") != left {
			l.Fail("the services are not on one machine each")
		}
	}
	if l.Trouble {
		l.Cloud.SetCapacity(l.Site.Type.Name, 1)
		for _, w := range l.Fleet.Workers() {
			if w.Name() == lost {
				l.Log("%s stops with all that is on it; the cloud has no other machine", lost)
				w.Kill()
			}
		}
	}
	time.Sleep(10 * time.Second)
	l.SubmitUntilAccepted("user", later, 5*time.Second, l.Controllers...)
	since := time.Now()
	free := 8 - 2*float64(small.Tasks)
	l.Log("%s has %.0f of 8 GPUs free, %s needs 2; its team uses 4 of 80", left, free, later.ID)
	for i := 0; time.Since(since) < 90*time.Second; i++ {
		if l.Jobs.Running(later.ID+"/0") > 0 {
			l.Verdict(false, "%s runs on %s %.1f s after it was accepted", later.ID, on(later.ID+"/0"), time.Since(since).Seconds())
		}
		if i%10 == 0 {
			for _, job := range []*wire.Job{large, small, later} {
				l.Ask("user", l.Controllers[i/10%3], "GET", wire.JobsPath+"/"+job.ID, nil, 2*time.Second)
			}
		}
		for j := range large.Tasks {
			if l.Trouble && l.Jobs.Running(wire.TaskName(large.ID, j)) > 0 {
				l.Fail("%s runs again, so that there is less room", large.ID)
			}
		}
		for j := range small.Tasks {
			if l.Jobs.Running(wire.TaskName(small.ID, j)) == 0 {
				l.Fail("%s does not run any more", small.ID)
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	l.Verdict(true, "%s waits %.0f s after it was accepted, while %s has %.0f of 8 GPUs free", later.ID, time.Since(since).Seconds(), left, free)
}

// awaitJob waits until all tasks of a job run.
func awaitJob(l *lab.Lab, job *wire.Job, most time.Duration) {
	for deadline := time.Now().Add(most); ; time.Sleep(100 * time.Millisecond) {
		running := 0
		for i := range job.Tasks {
			running += min(1, l.Jobs.Running(wire.TaskName(job.ID, i)))
		}
		if running == job.Tasks {
			return
		}
		if time.Now().After(deadline) {
			l.Fail("%d of %d tasks of %s run", running, job.Tasks, job.ID)
		}
	}
}
