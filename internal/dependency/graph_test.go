package dependency

import (
	"fmt"
	"reflect"
	"testing"
)

// Jobs of the table, by letter. Priorities from 0, estimates of 10 s.
func job(accepted int64, priority int, needs ...string) Job {
	return Job{Dependencies: needs, Priority: priority, AcceptedMS: accepted, EstimateMS: 10_000, DeadlineMS: Never}
}

func due(j Job, deadline int64) Job {
	j.DeadlineMS = deadline
	return j
}

func cancelled(j Job) Job {
	j.Cancelled = true
	return j
}

func TestStatus(t *testing.T) {
	for _, c := range []struct {
		name string
		jobs map[string]Job
		ends map[string]End
		want map[string]Status
	}{
		{"a job alone", map[string]Job{"a": due(job(1, 2), 50)}, nil,
			map[string]Status{"a": {Ready, 1, 2, Never}, "b": {Ready, 0, 0, Never}}},
		{"a chain takes priority and deadline from its end",
			map[string]Job{"a": job(1, 0), "b": job(2, 1, "a"), "c": due(job(3, 2, "b"), 90_000)}, nil,
			map[string]Status{"a": {Ready, 1, 2, 70_000}, "b": {Waiting, 2, 2, 80_000}, "c": {Waiting, 3, 2, 90_000}}},
		{"the highest of several, and the earliest",
			map[string]Job{"a": job(1, 0), "b": due(job(2, 3, "a"), 90_000), "c": due(job(3, 1, "a"), 40_000)}, nil,
			map[string]Status{"a": {Ready, 1, 3, 30_000}}},
		{"ready since the last end", map[string]Job{"c": job(3, 0, "a", "b")},
			map[string]End{"a": {true, 30}, "b": {true, 20}}, map[string]Status{"c": {Ready, 30, 0, Never}}},
		{"ends without a time", map[string]Job{"c": job(3, 0, "a")},
			map[string]End{"a": {true, 0}}, map[string]Status{"c": {Ready, 3, 0, Never}}},
		{"cancelled through others", map[string]Job{"a": cancelled(job(1, 0)), "b": job(2, 1, "a"), "c": job(3, 1, "b"), "d": job(4, 1)}, nil,
			map[string]Status{"b": {Cancelled, 2, 1, Never}, "c": {Cancelled, 3, 1, Never}, "d": {Ready, 4, 1, Never}}},
		{"cancelled long ago", map[string]Job{"b": job(2, 1, "a")}, map[string]End{"a": {false, 9}},
			map[string]Status{"b": {Cancelled, 2, 1, Never}}},
		{"a cancelled one lends nothing", map[string]Job{"a": job(1, 0), "b": cancelled(due(job(2, 3, "a"), 50))}, nil,
			map[string]Status{"a": {Ready, 1, 0, Never}}},
		{"an end that is not known", map[string]Job{"b": job(2, 1, "a"), "c": job(3, 1, "b", "x")}, nil,
			map[string]Status{"b": {Unresolved, 2, 1, Never}, "c": {Unresolved, 3, 1, Never}}},
		{"cancelled whatever else is not known", map[string]Job{"a": cancelled(job(1, 0)), "b": job(2, 1, "x", "a")}, nil,
			map[string]Status{"b": {Cancelled, 2, 1, Never}}},
		{"a cycle, which acceptance rules out, waits", map[string]Job{"a": job(1, 0, "b"), "b": job(1, 0, "a")}, nil,
			map[string]Status{"a": {Waiting, 1, 0, Never}, "b": {Waiting, 1, 0, Never}}},
	} {
		g := New()
		for id, j := range c.jobs {
			g.Put(id, j)
		}
		for id, e := range c.ends {
			g.End(id, e)
		}
		for id, want := range c.want {
			if got := g.Of(id); got != want {
				t.Errorf("%s: %s is %+v, not %+v", c.name, id, got, want)
			}
		}
	}
}

// TestChanges follows a chain from its submission to its end.
func TestChanges(t *testing.T) {
	g := New()
	g.Put("a", job(1, 0))
	g.Put("b", job(2, 1, "a"))
	g.Put("c", job(3, 2, "b"))
	if got := g.Of("a").Priority; got != 2 {
		t.Errorf("a has the priority %d", got)
	}
	before := g.Evaluations()
	g.Put("a", job(1, 0))
	if g.Evaluations() != before {
		t.Error("a job that has not changed was looked at again")
	}
	g.End("a", End{true, 40})
	if got := g.Of("b"); got.State != Ready || got.ReadyMS != 40 {
		t.Errorf("b is %+v after the end of a", got)
	}
	g.Put("c", cancelled(job(3, 2)))
	if got := g.Of("b").Priority; got != 1 {
		t.Errorf("b keeps the priority %d of a cancelled job", got)
	}
	g.End("c", End{})
	g.End("b", End{true, 60})
	if len(g.jobs)+len(g.dependents)+len(g.ends)+len(g.pipeline) != 0 {
		t.Errorf("something is left: %+v", g)
	}
	g.Put("d", job(4, 0, "a"))
	if got := g.Unresolved(); !reflect.DeepEqual(got, []string{"a"}) {
		t.Errorf("the ends of %v have to be known", got)
	}
	g.Remove("d")
	if got := g.Unresolved(); len(got) != 0 {
		t.Errorf("the ends of %v have to be known, of nobody", got)
	}
}

// TestLongChain has a chain that is longer than any stack would bear by recursion, and its first job
// needed by as many.
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
		if got := g.Of(id).State; got != Cancelled {
			t.Errorf("%s is %v", id, got)
		}
	}
}
