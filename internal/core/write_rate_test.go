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
	cluster := newScaleCluster(t, 1, 0)
	cluster.addMachines(20)
	cluster.runFor(3 * time.Second)
	sweep := wire.Job{ID: "run-a00001", Class: "sweep", Team: "t0", Kind: wire.KindArray, Priority: wire.PriorityIdle,
		Tasks: 25000, CPUs: 0.25, MemoryGB: 1, Image: "img-0", ImageGB: 1, EstimatedRunS: 60}
	cluster.submitAt(cluster.nodes[0], &sweep)
	for range 6 {
		cluster.submit(wire.Job{Kind: wire.KindService, Tasks: 1, GPUs: 1})
	}
	cluster.runFor(90 * time.Second)

	for i, id := range cluster.liveServices {
		cluster.step(cluster.nodes[0], core.CancelJob{RequestID: uint64(100+i) << 16, ID: id})
	}
	cancelled := cluster.liveServices
	cluster.liveServices = nil
	cluster.submit(wire.Job{Kind: wire.KindService, Tasks: 1, GPUs: 1})
	cluster.runFor(700 * time.Millisecond)
	if !cluster.hasTaskOnWorker(cluster.liveServices[0]) {
		t.Errorf("%s has not been started", cluster.liveServices[0])
	}
	cluster.runFor(1300 * time.Millisecond)
	for _, id := range cancelled {
		if _, got := cluster.store.Get("f/" + id); got != outcome.OK {
			t.Errorf("the end of %s is not written", id)
		}
	}
	if n := cluster.counts.writes; n < 60*30 {
		t.Errorf("%d writes in 90 s: the array does not use up what it may", n)
	}
}
