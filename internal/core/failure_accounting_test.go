package core

import (
	"testing"

	"bitternwing/internal/wire"
)

// newFailureAccounting returns the failure accounting of the given machines and jobs, without a leader.
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

// fail records the failure of a job's task on a machine.
func (f *failureAccounting) fail(job, machine string) {
	f.recordFailure(&placement{job: f.jobs[job], machine: f.machines[machine]})
}

// TestSeveralJobsQuarantineMachine checks that a machine on which two jobs failed is quarantined, and one on which a
// single job failed is not.
func TestSeveralJobsQuarantineMachine(t *testing.T) {
	f := newFailureAccounting([]string{"m1", "m2"}, []string{"a", "b"})
	f.fail("a", "m1")
	if f.machines["m1"].quarantined {
		t.Error("the machine is quarantined after a single job failed on it")
	}
	f.fail("b", "m1")
	if !f.machines["m1"].quarantined || f.machines["m2"].quarantined {
		t.Error("after two jobs failed on a machine, want exactly this machine quarantined")
	}
}

// TestSuspectJobBacksOff checks that a job that fails on several machines backs off for longer each time, and that its
// failures do not count against the machines until it has run successfully somewhere.
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
		t.Errorf("got retry time %v after the third failure, want it later than %v", suspect.retryAt, first)
	}
	for name, m := range f.machines {
		if len(m.failures) > 0 || m.quarantined {
			t.Errorf("%s: got failures %v of a suspect job, want none and no quarantine", name, m.failures)
		}
	}
	f.fail("b", "m1")
	f.recordSuccess(&placement{job: suspect, machine: f.machines["m4"]}, true)
	if !f.machines["m1"].quarantined || f.machines["m2"].quarantined {
		t.Error("after the job ran successfully, only the machine on which another job failed as well should be quarantined")
	}
}

// TestShortRunIsNoSuccess checks that a task clears its machine and job of suspicion only once it has run for long
// enough.
func TestShortRunIsNoSuccess(t *testing.T) {
	f := newFailureAccounting([]string{"m1"}, []string{"a"})
	f.core.now.Steady = f.core.times.lease
	f.fail("a", "m1")
	placed := f.core.now.Steady + 1
	p := &placement{job: f.jobs["a"], machine: f.machines["m1"], placedAt: placed, runningSince: placed}
	f.core.now.Steady = placed + minSuccessIntervals*f.core.times.checkInterval - 1
	if f.recordSuccess(p, false); len(f.machines["m1"].failures) != 1 {
		t.Error("a short run cleared the machine")
	}
	f.core.now.Steady++
	if f.recordSuccess(p, false); len(f.machines["m1"].failures) != 0 || !f.jobs["a"].ranSuccessfully {
		t.Error("a long run did not clear the machine and the job")
	}
}
