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

// jobBody is a submission of an array that needs others.
func jobBody(id string, tasks int, needs string) []byte {
	return fmt.Appendf(nil, `{"ref":%q,"lane":"x","broker":"red","shape":%q,"urgency":"idle","parcels":%d,
		"vcpus":1.0,"gpus":0,"memory_gb":1.0,"bundle":"i","image_gb":1.0,"rigs":null,"hall":null,
		"one_zone":false,"apart":false,"loaner":false,"expect_s":1.0,"stamp_s":0.0,"stow_s":0.0,"cutoff_s":60.0,"awaits":%s}`,
		id, wire.KindArray, tasks, needs)
}

// TestPipeline runs a pipeline over nodes whose settings announce smaller values: they tell each other that
// they know the second layout of records, and write it. Of a second one the first job is cancelled.
func TestPipeline(t *testing.T) {
	valueKB, changes := 2.0, 4
	s := newSiteWith(t, siteOptions{next: &config.UpcomingLimits{ValueKB: &valueKB, TxnOps: &changes}})
	s.eventually("the layout changes", func() bool { return len(s.keys("w/layout")) == 1 })
	s.store.SetLimits(int(1024*valueKB), changes)

	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	submit := func(node, id string, tasks int, needs string) {
		t.Helper()
		body := jobBody(id, tasks, needs)
		s.upload(string(body))
		if _, err := apiclient.New(s.addrs[node]).Submit(ctx, body); err != nil {
			t.Fatal(err)
		}
	}
	submit("a", "run-000002", 40, `null`)
	submit("b", "run-000004", 2, `["run-000002"]`)
	submit("c", "run-000006", 1, `["run-000004","run-000002"]`)
	s.state3("run-000006", wire.JobDone)
	s.state3("run-000004", wire.JobDone)
	s.state3("run-000002", wire.JobDone)

	var refused *apiclient.RefusedError
	if _, err := apiclient.New(s.addrs["b"]).Submit(ctx, jobBody("run-000010", 1, `["run-000099"]`)); !errors.As(err, &refused) || refused.Status != 422 {
		t.Errorf("a job that needs an unknown one: %v", err)
	}
	submit("a", "run-000018", 1, `["run-000006"]`)
	submit("b", "run-000020", 2, `["run-000018"]`)
	state, err := apiclient.New(s.addrs["c"]).Cancel(ctx, "run-000018")
	if err != nil {
		t.Fatal(err)
	}
	s.state3("run-000020", state.State) // done, if the cancellation came too late
	s.eventually("records swept", func() bool { return len(s.keys("r/")) == 0 && len(s.keys("w/a/")) == 0 })
	s.onceEach()
}
