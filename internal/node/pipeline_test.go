package node_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"bitternwing/internal/apiclient"
	"bitternwing/internal/config"
	"bitternwing/internal/wire"
)

// arrayJobBody returns the submission of an array job; dependencies is a JSON list of job ids, or null.
func arrayJobBody(id string, tasks int, dependencies string) []byte {
	return fmt.Appendf(nil, `{"ref":%q,"lane":"x","broker":"red","shape":%q,"urgency":"idle","parcels":%d,
		"vcpus":1.0,"gpus":0,"memory_gb":1.0,"bundle":"i","image_gb":1.0,"rigs":null,"hall":null,
		"one_zone":false,"apart":false,"loaner":false,"expect_s":1.0,"stamp_s":0.0,"stow_s":0.0,"cutoff_s":60.0,"awaits":%s}`,
		id, wire.KindArray, tasks, dependencies)
}

// TestPipeline runs jobs with dependencies on nodes whose settings announce smaller limits of the key-value store. The
// nodes tell each other that they support the second layout of records, and switch to it. In a second pipeline, the
// first job is cancelled, and the job that depends on it must end in the same state.
func TestPipeline(t *testing.T) {
	valueKB, txnOps := 2.0, 4
	cluster := newTestClusterWith(t, clusterOptions{next: &config.UpcomingLimits{ValueKB: &valueKB, TxnOps: &txnOps}})
	cluster.eventually("the record layout changes", func() bool { return len(cluster.keys("w/layout")) == 1 })
	cluster.store.SetLimits(int(1024*valueKB), txnOps)

	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	submit := func(node, id string, tasks int, dependencies string) {
		t.Helper()
		body := arrayJobBody(id, tasks, dependencies)
		cluster.addJob(string(body))
		if _, err := apiclient.New(cluster.addrs[node]).Submit(ctx, body); err != nil {
			t.Fatal(err)
		}
	}
	submit("a", "run-000002", 40, `null`)
	submit("b", "run-000004", 2, `["run-000002"]`)
	submit("c", "run-000006", 1, `["run-000004","run-000002"]`)
	cluster.waitForStatus("run-000006", wire.JobDone)
	cluster.waitForStatus("run-000004", wire.JobDone)
	cluster.waitForStatus("run-000002", wire.JobDone)

	var refused *apiclient.RefusedError
	if _, err := apiclient.New(cluster.addrs["b"]).Submit(ctx, arrayJobBody("run-000010", 1, `["run-000099"]`)); !errors.As(err, &refused) || refused.Status != 422 {
		t.Errorf("submission with an unknown dependency: %v, want status 422", err)
	}
	submit("a", "run-000018", 1, `["run-000006"]`)
	submit("b", "run-000020", 2, `["run-000018"]`)
	response, err := apiclient.New(cluster.addrs["c"]).Cancel(ctx, "run-000018")
	if err != nil {
		t.Fatal(err)
	}
	cluster.waitForStatus("run-000020", response.Status) // done instead of cancelled if the cancellation came too late
	cluster.eventually("the records are deleted", func() bool { return len(cluster.keys("r/")) == 0 && len(cluster.keys("w/a/")) == 0 })
	cluster.checkStartedOnce()
}
