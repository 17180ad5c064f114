package core

import (
	"testing"

	"bitternwing/internal/wire"
)

// newFailureAccounting makes a failure accounting of some machines and jobs, without a leader.
func newFailureAccounting(machines, jobs []string) *failureAccounting {
	f := &failureAccounting{core: newIdleCore(), jobs: map[string]*job{}, machines: map[string]*machine{}}
	for _, name := range machines {
		f.machines[name] = &machine{name: name, failures: map[string]int{}}
	}
	for _, id := range jobs {
		f.jobs[id] = &job{id: id, spec: &wire.Job{ID: id, Tasks: 1}}
	}
	return f
}

// fail has a task of a job fail on a machine.
func (f *failureAccounting) fail(job, machine string) {
	f.recordFailure(&placement{job: f.jobs[job], machine: f.machines[machine]})
}

// TestSeveralJobsQuarantineMachine: a machine on which one job failed stays in use, one on which two did is quarantined.
func TestSeveralJobsQuarantineMachine(t *testing.T) {
	f := newFailureAccounting([]string{"m1", "m2"}, []string{"a", "b"})
	f.fail("a", "m1")
	if f.machines["m1"].quarantined {
		t.Error("a single job that failed quarantines the machine")
	}
	f.fail("b", "m1")
	if !f.machines["m1"].quarantined || f.machines["m2"].quarantined {
		t.Error("two jobs that failed on a machine do not quarantine it alone")
	}
}

// TestSuspectJobBacksOff: a job that fails on several machines backs off, for longer each time, and none of them is blamed
// for it until the job runs well somewhere.
func TestSuspectJobBacksOff(t *testing.T) {
	f := newFailureAccounting([]string{"m1", "m2", "m3", "m4"}, []string{"a", "b"})
	f.fail("a", "m1")
	f.fail("a", "m2")
	suspect, first := f.jobs["a"], f.jobs["a"].retryAt
	if first <= f.core.now.Steady {
		t.Fatal("a job that failed on two machines does not back off")
	}
	f.fail("a", "m3")
	if suspect.retryAt <= first {
		t.Errorf("the backoff is %v after the third machine, %v before", suspect.retryAt, first)
	}
	for name, m := range f.machines {
		if len(m.failures) > 0 || m.quarantined {
			t.Errorf("%s is blamed for a suspect job: %v", name, m.failures)
		}
	}
	f.fail("b", "m1")
	f.recordSuccess(&placement{job: suspect, machine: f.machines["m4"]}, true)
	if !f.machines["m1"].quarantined || f.machines["m2"].quarantined {
		t.Error("once the job ran well, its failure does not count against the machine on which another failed")
	}
}

// TestShortRunIsNoSuccess: a task that has run only for a moment clears nothing.
func TestShortRunIsNoSuccess(t *testing.T) {
	f := newFailureAccounting([]string{"m1"}, []string{"a"})
	f.core.now.Steady = f.core.times.lease
	f.fail("a", "m1")
	placed := f.core.now.Steady + 1
	p := &placement{job: f.jobs["a"], machine: f.machines["m1"], placedAt: placed, runningSince: placed}
	f.core.now.Steady = placed + minSuccessChecks*f.core.times.checkInterval - 1
	if f.recordSuccess(p, false); len(f.machines["m1"].failures) != 1 {
		t.Error("a short run clears the machine")
	}
	f.core.now.Steady++
	if f.recordSuccess(p, false); len(f.machines["m1"].failures) != 0 || !f.jobs["a"].ranSuccessfully {
		t.Error("a long run does not clear the machine and the job")
	}
}
