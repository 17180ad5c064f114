package core_test

import (
	"strings"
	"testing"
	"time"

	"bitternwing/internal/core"
	"bitternwing/internal/wire"
)

// TestScale plays a full fleet of 1,000 machines with seven nodes through a minute of
// work, a leader's end included, and counts what it asks of the state service and how many
// workers it calls at once.
func TestScale(t *testing.T) {
	y := newLargeScaleCluster(t, 7, 1000)
	y.day(500, 60, 60)
	if y.rented < 600 {
		t.Fatalf("only %d machines are up: the day is too small to tell", y.rented)
	}
	y.counted = scaleCounts{}
	y.crash()
	const seconds = 60
	y.day(0, 0, seconds)
	c, p := y.counted, y.set.Params.Store
	t.Logf("%d machines, %d reports, %+v", y.rented, c.checkins, c)
	if c.checkins < seconds*200 {
		t.Errorf("%d reports: the workers do not report", c.checkins)
	}
	if n := c.txns + c.gets + c.lists; float64(n) > 0.9*seconds*p.RPS {
		t.Errorf("%d requests to the state service in %d s, of %v a second", n, seconds, p.RPS)
	}
	if float64(c.writes) > 0.9*seconds*p.WriteRPS {
		t.Errorf("%d writes in %d s, of %v a second", c.writes, seconds, p.WriteRPS)
	}
	if most := y.set.Params.Limits.MaxConnections / 8; c.atOnce > most || c.atOnce == 0 {
		t.Errorf("%d calls to workers at once, of %d", c.atOnce, most)
	}
	// The cloud's list has two pages, and it is read every list lag.
	if lists := seconds / int(y.set.Params.Cloud.ListLagS); c.released > 0 || c.pages < 2*lists-2 {
		t.Errorf("%d machines with work were released; %d pages of %d lists", c.released, c.pages, lists)
	}
	if c.largest > p.TxnOps {
		t.Errorf("a transaction with %d changes, of %d", c.largest, p.TxnOps)
	}
}

// TestZoneKept cuts the workers of a large zone off from the leader's. Nodes of their own
// zone keep them, and pass on more reports than one transaction holds: the leader releases
// none of them, however long it lasts.
func TestZoneKept(t *testing.T) {
	y := newLargeScaleCluster(t, 3, 0)
	y.have(400, "z1", "z2")
	y.day(400, 0, 20)
	y.counted = scaleCounts{}
	y.apart = "z2"
	y.pass(60 * time.Second)
	if n := y.counted.released; n > 0 || len(storedKeys(y.store, "w/k/")) < 6 {
		t.Errorf("%d machines of the zone were released, reports are in %v", n, storedKeys(y.store, "w/k/"))
	}
	t.Logf("%+v", y.counted)
}

// TestWorkFollowsChange plays the same jobs on a fleet of 50 and of 200 machines. What is
// asked of the state service and of the workers follows the jobs, not the fleet.
func TestWorkFollowsChange(t *testing.T) {
	play := func(machines int) scaleCounts {
		y := newScaleCluster(t, 3, 0)
		y.have(machines)
		y.pass(10 * time.Second)
		y.counted = scaleCounts{}
		y.day(10, 2, 30)
		return y.counted
	}
	few, many := play(50), play(200)
	t.Logf("50 machines %+v", few)
	t.Logf("200 machines %+v", many)
	more := func(what string, a, b int, times float64) {
		if a == 0 || float64(b) > times*float64(a) {
			t.Errorf("%s: %d on 50 machines, %d on 200", what, a, b)
		}
	}
	more("transactions", few.txns, many.txns, 1.2)
	more("writes", few.writes, many.writes, 1.2)
	more("bytes written", few.bytes, many.bytes, 1.2)
	// With more machines the same tasks are on more of them.
	more("orders", few.orders, many.orders, 1.5)
}

// TestRoundBudget plays a full fleet, more jobs than it holds, under a budget of a few
// evaluations a second. The rounds keep within it, and a service and an array that come
// then get their turn all the same once there is room.
func TestRoundBudget(t *testing.T) {
	y := newScaleCluster(t, 1, 0)
	y.op.CycleBudget = 0.0001
	y.start(0)
	y.have(100)
	const seconds = 120
	y.day(150, 20, seconds)
	n := y.nodes[0].core
	// A round that is out of budget, two a second at the most, still makes a step: a search that looks at a few
	// machines.
	most := n.EvaluationsPerSecond()*seconds + 2*seconds*20
	t.Logf("%d evaluations of %.0f, %+v", n.Evaluations(), most, y.counted)
	if evaluations := float64(n.Evaluations()); evaluations > most || evaluations < most/2 {
		t.Errorf("%.0f evaluations in %d s, of %.0f", evaluations, seconds, most)
	}
	for _, kind := range []string{"run-0", "run-a"} {
		late := 0
		for task := range y.holders {
			if strings.HasPrefix(task, kind) && task[5:10] > "00175" {
				late++
			}
		}
		if late == 0 {
			t.Errorf("no task of a late job %s runs", kind)
		}
	}
}

// TestSlowProcessor plays rounds on a processor on which an evaluation takes fifty times what is
// assumed at first. Once that is measured, rounds keep to their share of the time.
func TestSlowProcessor(t *testing.T) {
	y := newScaleCluster(t, 1, 0)
	y.evaluationCost = 5 * time.Microsecond
	y.have(200)
	y.day(200, 40, 30)
	n := y.nodes[0].core
	before := n.Evaluations()
	const seconds = 60
	y.day(100, 40, seconds)
	spent := time.Duration(n.Evaluations()-before) * y.evaluationCost
	share := time.Duration(y.op.CycleBudget * y.set.Params.Limits.CPUShare * seconds * float64(time.Second))
	t.Logf("%v of %v", spent, share)
	if spent > share*3/2 || spent < share/20 {
		t.Errorf("rounds took %v, of %v", spent, share)
	}
}

// TestFinishedJobsAreBounded ends more jobs than a node remembers. What it remembers stays
// within the bound, and a job that it forgot is answered from the state service.
func TestFinishedJobsAreBounded(t *testing.T) {
	y := newScaleCluster(t, 2, 0)
	y.memory = 0.2 // 20 final states
	for i := range y.nodes {
		y.start(i)
	}
	y.have(4)
	y.pass(3 * time.Second)
	for i := 0; i < 60; i++ {
		y.submit(wire.Job{Kind: wire.KindService, Tasks: 1, GPUs: 1})
		y.pass(200 * time.Millisecond)
		y.req++
		y.step(y.nodes[0], core.CancelJob{RequestID: y.req << 16, ID: y.live[i]})
	}
	y.pass(40 * time.Second)
	if n := len(storedKeys(y.store, "f/")); n != 60 {
		t.Fatalf("%d jobs ended, of 60", n)
	}
	for _, n := range y.nodes {
		if k := n.core.Finals(); k == 0 || k > 20 {
			t.Errorf("%s remembers %d final states, of 20", n.name, k)
		}
	}
	gets := y.counted.gets
	y.req++
	y.polled = nil
	y.step(y.nodes[1], core.GetJob{RequestID: y.req << 16, ID: y.live[0]})
	y.pass(time.Second)
	if s, ok := y.polled.(wire.JobState); !ok || s.State != wire.JobCancelled || y.counted.gets == gets {
		t.Errorf("the first job is answered %+v after %d reads", y.polled, y.counted.gets-gets)
	}
}
