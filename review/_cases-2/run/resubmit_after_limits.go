package main

import (
	"fmt"
	"time"

	"bitternwing/internal/wire"
	"bitternwing/review/_cases-2/lab"
)

func init() { cases["resubmit_after_limits"] = resubmitAfterLimits }

// resubmitAfterLimits: a job is accepted and done. Then all controllers are restarted one after the other, with settings
// that announce the state service's smaller limits. The submission is repeated.
func resubmitAfterLimits(folder string) {
	const id = "run-000412"
	l := lab.New(lab.Pos(), folder)
	l.Start(1)
	l.AwaitLeader(10 * time.Second)
	job := lab.Batch(id, "riskdesk-00", 1, 1, 2)
	job.Image = "models.tenantcheck.example/quickwren/reference-letter-reader@sha256:4f53cda18c2baa0c0354bb5f9a3ecbe5ed12ab4d8e11ba873c2f11161202b945"
	job.MachineTypes = []string{"caroni48"}
	for i := 1; i < 32; i++ { // further machine types of the catalog to come, as a tool may list them
		job.MachineTypes = append(job.MachineTypes, fmt.Sprintf("caroni48-pos-east-highmem-gen%02d-reserved-2026-riskdesk", i))
	}
	body := l.Submission(job)
	l.Log("the submission has %d bytes", len(body))
	if a := l.Ask("user", l.Controllers[0], "POST", wire.JobsPath, body, 5*time.Second); a.Status != 201 {
		l.Fail("not accepted: %s", a)
	}
	for deadline := time.Now().Add(40 * time.Second); ; time.Sleep(time.Second) {
		a := l.Ask("user", l.Controllers[1], "GET", wire.JobsPath+"/"+id, nil, 2*time.Second)
		if a.State == "done" {
			break
		}
		if time.Now().After(deadline) {
			l.Fail("the job is not done: %s", a)
		}
	}
	if l.Trouble {
		l.Site.Next = "value_kb = 2.0\ntxn_ops = 4\nwrite_rps = 42.0"
	}
	for _, c := range l.Controllers {
		l.Log("restart of %s, next limits: %q", c.Name, l.Site.Next)
		l.Kill(c)
		l.WriteSettings(c)
		time.Sleep(3 * time.Second)
		l.Launch(c)
		l.AwaitHealthy(20*time.Second, c)
	}
	time.Sleep(5 * time.Second)
	broken, last := false, lab.Answer{}
	for _, c := range l.Controllers {
		for try := 0; ; try++ {
			last = l.Ask("user", c, "POST", wire.JobsPath, body, 5*time.Second)
			if last.Status == 200 || last.Status == 400 || last.Status == 422 || try == 5 {
				break
			}
			time.Sleep(time.Second)
		}
		broken = broken || last.Status == 400 || last.Status == 422
		poll := l.Ask("user", c, "GET", wire.JobsPath+"/"+id, nil, 2*time.Second)
		broken = broken || poll.Status == 404
	}
	l.Verdict(broken, "the last repeat of the accepted submission got %s", last)
}
