package dependency

import (
	"fmt"
	"reflect"
	"testing"
)

// job returns a job without a deadline whose run time is estimated as 10 s.
func job(accepted int64, priority int, dependencies ...string) Job {
	return Job{Dependencies: dependencies, Priority: priority, AcceptedMS: accepted, EstimateMS: 10_000, DeadlineMS: NoDeadline}
}

// withDeadline returns a job with a deadline.
func withDeadline(j Job, deadline int64) Job {
	j.DeadlineMS = deadline
	return j
}

// cancelled returns a job that is cancelled.
func cancelled(j Job) Job {
	j.Cancelled = true
	return j
}

// TestStatus checks the statuses of jobs in graphs of a few jobs named by letters.
func TestStatus(t *testing.T) {
	for _, c := range []struct {
		name string
		jobs map[string]Job
		ends map[string]End
		want map[string]Status
	}{
		{"a single job", map[string]Job{"a": withDeadline(job(1, 2), 50)}, nil,
			map[string]Status{"a": {Ready, 1, 2, NoDeadline}, "b": {Ready, 0, 0, NoDeadline}}},
		{"a chain inherits priority and deadline from its last job",
			map[string]Job{"a": job(1, 0), "b": job(2, 1, "a"), "c": withDeadline(job(3, 2, "b"), 90_000)}, nil,
			map[string]Status{"a": {Ready, 1, 2, 70_000}, "b": {Waiting, 2, 2, 80_000}, "c": {Waiting, 3, 2, 90_000}}},
		{"the highest priority and the earliest deadline of several dependents",
			map[string]Job{"a": job(1, 0), "b": withDeadline(job(2, 3, "a"), 90_000), "c": withDeadline(job(3, 1, "a"), 40_000)}, nil,
			map[string]Status{"a": {Ready, 1, 3, 30_000}}},
		{"ready since the last dependency ended", map[string]Job{"c": job(3, 0, "a", "b")},
			map[string]End{"a": {true, 30}, "b": {true, 20}}, map[string]Status{"c": {Ready, 30, 0, NoDeadline}}},
		{"dependency that ended at an unknown time", map[string]Job{"c": job(3, 0, "a")},
			map[string]End{"a": {true, 0}}, map[string]Status{"c": {Ready, 3, 0, NoDeadline}}},
		{"a cancelled job cancels direct and indirect dependents", map[string]Job{"a": cancelled(job(1, 0)), "b": job(2, 1, "a"), "c": job(3, 1, "b"), "d": job(4, 1)}, nil,
			map[string]Status{"b": {Cancelled, 2, 1, NoDeadline}, "c": {Cancelled, 3, 1, NoDeadline}, "d": {Ready, 4, 1, NoDeadline}}},
		{"dependency cancelled and no longer active", map[string]Job{"b": job(2, 1, "a")}, map[string]End{"a": {false, 9}},
			map[string]Status{"b": {Cancelled, 2, 1, NoDeadline}}},
		{"nothing is inherited from a cancelled dependent", map[string]Job{"a": job(1, 0), "b": cancelled(withDeadline(job(2, 3, "a"), 50))}, nil,
			map[string]Status{"a": {Ready, 1, 0, NoDeadline}}},
		{"dependency that ended in an unknown way", map[string]Job{"b": job(2, 1, "a"), "c": job(3, 1, "b", "x")}, nil,
			map[string]Status{"b": {Unresolved, 2, 1, NoDeadline}, "c": {Unresolved, 3, 1, NoDeadline}}},
		{"a cancelled dependency outweighs an unresolved one", map[string]Job{"a": cancelled(job(1, 0)), "b": job(2, 1, "x", "a")}, nil,
			map[string]Status{"b": {Cancelled, 2, 1, NoDeadline}}},
		{"the jobs of a cycle wait", map[string]Job{"a": job(1, 0, "b"), "b": job(1, 0, "a")}, nil,
			map[string]Status{"a": {Waiting, 1, 0, NoDeadline}, "b": {Waiting, 1, 0, NoDeadline}}},
	} {
		g := New()
		for id, j := range c.jobs {
			g.Put(id, j)
		}
		for id, e := range c.ends {
			g.End(id, e)
		}
		for id, want := range c.want {
			if got := g.Status(id); got != want {
				t.Errorf("%s: status of %s is %+v, want %+v", c.name, id, got, want)
			}
		}
	}
}

// TestChanges follows a chain of jobs from submission to end, and checks that nothing about it is kept afterwards.
func TestChanges(t *testing.T) {
	g := New()
	g.Put("a", job(1, 0))
	g.Put("b", job(2, 1, "a"))
	g.Put("c", job(3, 2, "b"))
	if got := g.Status("a").Priority; got != 2 {
		t.Errorf("priority of a is %d, want 2", got)
	}
	before := g.Evaluations()
	g.Put("a", job(1, 0))
	if g.Evaluations() != before {
		t.Error("the graph was evaluated again although no job has changed")
	}
	g.End("a", End{true, 40})
	if got := g.Status("b"); got.State != Ready || got.ReadyMS != 40 {
		t.Errorf("status of b is %+v after a has ended", got)
	}
	g.Put("c", cancelled(job(3, 2)))
	if got := g.Status("b").Priority; got != 1 {
		t.Errorf("priority of b is %d after its dependent was cancelled, want 1", got)
	}
	g.End("c", End{})
	g.End("b", End{true, 60})
	if len(g.jobs)+len(g.dependents)+len(g.ends)+len(g.pipeline) != 0 {
		t.Errorf("the graph is not empty: %+v", g)
	}
	g.Put("d", job(4, 0, "a"))
	if got := g.Unresolved(); !reflect.DeepEqual(got, []string{"a"}) {
		t.Errorf("unresolved: %v, want a", got)
	}
	g.Remove("d")
	if got := g.Unresolved(); len(got) != 0 {
		t.Errorf("unresolved: %v, want none", got)
	}
}

// TestLongChain checks that neither a chain that is too long for recursion nor a job with as many direct dependents is
// a problem: the cancellation of the first job reaches the last ones.
func TestLongChain(t *testing.T) {
	const length = 100_000
	g := New()
	name := func(kind string, i int) string { return fmt.Sprint(kind, i) }
	g.Put(name("chain", 0), cancelled(job(0, 0)))
	for i := 1; i < length; i++ {
		g.Put(name("chain", i), job(0, 0, name("chain", i-1)))
		g.Put(name("fan", i), job(0, 0, name("chain", 0)))
	}
	for _, id := range []string{name("chain", length-1), name("fan", length-1)} {
		if got := g.Status(id).State; got != Cancelled {
			t.Errorf("state of %s is %v, want Cancelled", id, got)
		}
	}
}
