package core_test

import (
	"testing"
	"time"

	"bitternwing/internal/core"
	"bitternwing/internal/outcome"
	"bitternwing/internal/wire"
)

// TestLargeIdleArrayLeavesWriteRate runs a large idle-priority array whose short tasks end all the time, so that their
// run records could use the whole write rate. The ends of other jobs and the starts of services must not queue behind
// them. The end of a job needs two changes in one transaction, and the write budget was never sufficient for them while
// each record used the next change.
func TestLargeIdleArrayLeavesWriteRate(t *testing.T) {
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
		t.Errorf("service %s has not been started 0.7 s after its submission", cluster.liveServices[0])
	}
	cluster.runFor(1300 * time.Millisecond)
	for _, id := range cancelled {
		if _, got := cluster.store.Get("f/" + id); got != outcome.OK {
			t.Errorf("the final state of %s has not been written 2 s after its cancellation", id)
		}
	}
	if n := cluster.counts.writes; n < 60*30 {
		t.Errorf("got %d writes in 90 s, want at least 1800: the array does not use its share of the write rate", n)
	}
}
