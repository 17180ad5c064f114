package core_test

import (
	"testing"
	"time"

	"bitternwing/internal/core"
	"bitternwing/internal/outcome"
	"bitternwing/internal/wire"
)

// TestHugeArrayLeavesWrites has thousands of short idle-time tasks end at any time, so that their
// records take all writes that there are. The ends of other jobs and the starts of services must not
// queue behind them: the former need two writes at once, which never came together when each
// record took the next one.
func TestHugeArrayLeavesWrites(t *testing.T) {
	y := newScaleCluster(t, 1, 0)
	y.have(20)
	y.pass(3 * time.Second)
	sweep := wire.Job{ID: "run-a00001", Class: "sweep", Team: "t0", Kind: wire.KindArray, Priority: wire.PriorityIdle,
		Tasks: 25000, CPUs: 0.25, MemoryGB: 1, Image: "img-0", ImageGB: 1, EstimatedRunS: 60}
	y.hand(y.nodes[0], &sweep)
	for range 6 {
		y.submit(wire.Job{Kind: wire.KindService, Tasks: 1, GPUs: 1})
	}
	y.pass(90 * time.Second)

	for i, id := range y.live {
		y.step(y.nodes[0], core.CancelJob{RequestID: uint64(100+i) << 16, ID: id})
	}
	cancelled := y.live
	y.live = nil
	y.submit(wire.Job{Kind: wire.KindService, Tasks: 1, GPUs: 1})
	y.pass(700 * time.Millisecond)
	if !y.holds(y.live[0]) {
		t.Errorf("%s has not been started", y.live[0])
	}
	y.pass(1300 * time.Millisecond)
	for _, id := range cancelled {
		if _, got := y.store.Get("f/" + id); got != outcome.OK {
			t.Errorf("the end of %s is not written", id)
		}
	}
	if n := y.counted.writes; n < 60*30 {
		t.Errorf("%d writes in 90 s: the array does not use up what it may", n)
	}
}
