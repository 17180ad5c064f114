package watchcache

import (
	"encoding/json"
	"errors"
	"slices"
	"testing"

	"bitternwing/internal/quota"
	"bitternwing/internal/record"
	"bitternwing/internal/rollout"
	"bitternwing/internal/stored"
	"bitternwing/internal/wire"
)

const maxFinalStates = 3

// jobValue returns the stored value of a job that was accepted at the given time.
func jobValue(t *testing.T, acceptedMS int64) json.RawMessage {
	t.Helper()
	value, err := stored.Job{Spec: &wire.Job{Tasks: 1}, AcceptedMS: acceptedMS}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// checkJobs compares the active jobs with the expected ones, by id and time of acceptance.
func checkJobs(t *testing.T, c *Cache, want map[string]int64) {
	t.Helper()
	if c.JobCount() != len(want) {
		t.Errorf("unexpected number of jobs: %v", c.JobIDs())
	}
	for id, acceptedMS := range want {
		if job := c.Job(id); job == nil || job.AcceptedMS != acceptedMS {
			t.Errorf("job %s has an unexpected value: %+v", id, job)
		}
	}
}

// TestJobVersions checks that older values, and values that can't be decoded, do not replace a job.
func TestJobVersions(t *testing.T) {
	c := New(maxFinalStates)
	c.Apply("w/a/run-000001", jobValue(t, 10), 5)
	c.Apply("w/a/run-000001", jobValue(t, 11), 4)
	c.Apply("w/a/run-000001", nil, 5)
	c.Apply("w/a/run-000001", json.RawMessage(`{"at":12}`), 6)
	checkJobs(t, c, map[string]int64{"run-000001": 10})
	c.Apply("w/a/run-000001", jobValue(t, 13), 6)
	checkJobs(t, c, map[string]int64{"run-000001": 13})
	if job := c.Job("run-000001"); job.Cancelled() || c.Job("run-000002").Cancelled() {
		t.Error("a job that is not cancelled or does not exist is reported as cancelled")
	}
	c.Apply("w/a/run-000001", nil, 7)
	checkJobs(t, c, nil)
}

// TestReplace loads a list that starts at revision 20 and has two pages. Entries that are missing from the list are
// removed, except for those that became known after the list started.
func TestReplace(t *testing.T) {
	c := New(maxFinalStates)
	c.Apply("w/a/ended", jobValue(t, 1), 10)
	c.Apply("w/a/accepted", jobValue(t, 2), 21)
	c.Apply("w/a/changed", jobValue(t, 3), 22)
	c.Apply("w/a/same", jobValue(t, 4), 12)
	c.Apply("w/n/0", json.RawMessage(`{"same":[1,0]}`), 13)
	c.Apply("w/catalog", json.RawMessage(`[{"label":"g8"}]`), 14)
	c.AddFinalState("over", stored.FinalState{State: wire.JobDone})

	listing := NewListing()
	listing.AddPage(wire.Page{Revision: 20, Items: []wire.Item{{Key: "w/a/changed", Value: jobValue(t, 30), Version: 11}}})
	if c.Ready() || c.JobCount() != 4 {
		t.Error("the cache changed before the list was complete")
	}
	listing.AddPage(wire.Page{Revision: 25, Items: []wire.Item{{Key: "w/a/same", Value: jobValue(t, 4), Version: 12}, {Key: "w/a/later", Value: jobValue(t, 5), Version: 24}}})
	c.Replace(listing)

	checkJobs(t, c, map[string]int64{"accepted": 2, "changed": 3, "same": 4, "later": 5})
	if !c.Ready() || c.Revision() != 20 {
		t.Errorf("not ready, or at revision %d instead of 20", c.Revision())
	}
	if counts := c.TaskCounts("same"); counts != (stored.TaskCounts{}) {
		t.Errorf("task counts missing from the list are still cached: %+v", counts)
	}
	if len(c.Catalog()) != 1 {
		t.Error("the machine types were removed")
	}
	if _, known := c.FinalState("over"); !known {
		t.Error("a final state was removed")
	}
	if c.Advance(19); c.Revision() != 20 {
		t.Errorf("the cache went back to revision %d", c.Revision())
	}
}

// TestLeaderAndTerm checks that the leader is removed with its key, and that neither the term nor its format ever goes
// back.
func TestLeaderAndTerm(t *testing.T) {
	c := New(maxFinalStates)
	c.Apply("w/lead", json.RawMessage(`{"node":"a","inc":"a/1","lease":3,"term":2}`), 7)
	if !c.HasLeader() || c.Leader().Node != "a" || c.LeaderCondition() != (wire.Condition{Key: "w/lead", Version: 7}) {
		t.Errorf("leader is %+v, want node a at version 7", c.Leader())
	}
	if c.Apply("w/lead", nil, 9); c.HasLeader() || c.Leader() != (stored.Leader{}) || c.LeaderCondition().Version != 0 {
		t.Errorf("leader is %+v, want none", c.Leader())
	}
	c.Apply("w/term", json.RawMessage(`{"term":[2],"node":"a"}`), 7)
	c.ObserveTerm(stored.Term{Number: 3, Node: "b"}, stored.BaseTermFormat, 8)
	c.Apply("w/term", json.RawMessage(`{"term":[2],"node":"a"}`), 7)
	c.Apply("w/term", nil, 9)
	if c.Term() != (stored.Term{Number: 3, Node: "b"}) || c.TermVersion() != 8 || c.TermFormat() != stored.RolloutsTermFormat {
		t.Errorf("term is %+v at version %d in format %q, want term 3 of node b at version 8 in format \"rollout plans\"", c.Term(), c.TermVersion(), c.TermFormat())
	}
}

// TestRecordLayout checks that no layout is reported until one is stored, and that an older one does not replace it.
func TestRecordLayout(t *testing.T) {
	c := New(maxFinalStates)
	if _, known := c.RecordLayout(); known {
		t.Error("a layout is reported although none is stored")
	}
	layout := record.Layout{IndexLayoutTasks: 128, TaskLayoutTasks: 32}
	c.ObserveRecordLayout(layout, 5)
	c.ObserveRecordLayout(record.Layout{IndexLayoutTasks: 128, TaskLayoutTasks: 16}, 4)
	if got, known := c.RecordLayout(); !known || got != layout {
		t.Errorf("layout is %+v, %v, want the newer one", got, known)
	}
}

func planValue(t *testing.T, name, job string) json.RawMessage {
	t.Helper()
	plan := &rollout.Plan{Name: name, New: rollout.VersionSpec{Jobs: []string{job}}, Steps: []rollout.Step{{Jobs: []string{job}, Share: 1}}}
	value, err := json.Marshal(rollout.NewRecord(plan, 1))
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// TestPlans checks that a plan that can no longer be decoded still holds its jobs until it is deleted.
func TestPlans(t *testing.T) {
	c := New(maxFinalStates)
	c.Apply("w/p/chat", planValue(t, "chat", "svc-1"), 5)
	c.Apply("w/p/mail", planValue(t, "mail", "svc-2"), 6)
	if c.PlanCount() != 2 || !slices.Equal(c.PlanNames(), []string{"chat", "mail"}) || c.PlanForJob("svc-2") != c.Plan("mail") {
		t.Errorf("plans %v", c.PlanNames())
	}
	c.Apply("w/p/chat", json.RawMessage(`[]`), 7)
	if p := c.PlanForJob("svc-1"); p == nil || p.Record == nil || !errors.Is(p.Problem, rollout.ErrUnreadable) {
		t.Errorf("the plan that can't be decoded is %+v", p)
	}
	c.Apply("w/p/chat", nil, 8)
	if c.Plan("chat") != nil || c.PlanForJob("svc-1") != nil || c.PlanForJob("svc-2") == nil {
		t.Errorf("plans %v", c.PlanNames())
	}
	listing := NewListing()
	listing.AddPage(wire.Page{Revision: 9})
	if c.Replace(listing); c.PlanCount() != 0 || c.PlanForJob("svc-2") != nil {
		t.Errorf("plans %v", c.PlanNames())
	}
}

// TestQuotaAccounts checks that a deleted account is treated as unreadable, and that changes are counted.
func TestQuotaAccounts(t *testing.T) {
	c, key := New(maxFinalStates), stored.QuotaAccountKey("red")
	c.Apply(key, json.RawMessage(`{"w":{},"h":{"l":{"g":8}}}`), 5)
	c.Apply(key, json.RawMessage(`{"w":{},"h":{"l":{"g":9}}}`), 5)
	if a := c.QuotaAccount(key); a.Problem != nil || a.Account.Held.Limit.GPUs != 8 || c.QuotaAccountCount() != 1 || c.QuotaAccountChanges() != 1 {
		t.Errorf("account is %+v after %d changes, want a limit of 8 GPUs after 1 change", a, c.QuotaAccountChanges())
	}
	c.Apply(key, nil, 6)
	if a := c.QuotaAccount(key); a.Account != nil || !errors.Is(a.Problem, quota.ErrUnreadable) || c.QuotaAccountChanges() != 2 {
		t.Errorf("deleted account is %+v after %d changes, want an error after 2 changes", a, c.QuotaAccountChanges())
	}
}

// TestHints reads the hints written by an earlier leader.
func TestHints(t *testing.T) {
	c := New(maxFinalStates)
	c.Apply("w/i/0", json.RawMessage(`{"m1":["a","b"]}`), 1)
	c.Apply("w/i/1", json.RawMessage(`malformed`), 2)
	if images := c.Images("m1"); !slices.Equal(images, []string{"a", "b"}) || c.Images("m2") != nil {
		t.Errorf("images are %v and %v, want [a b] and none", images, c.Images("m2"))
	}
	first, second := `{"m1":100,"m2":200}`, `{"m1":300}`
	c.Apply("w/s", json.RawMessage(first), 3)
	c.Apply("w/s/1", json.RawMessage(second), 4)
	if at, known := c.LastHeardMS("m1"); at != 300 || !known {
		t.Errorf("m1 was last heard at %d, %v, want 300", at, known)
	}
	if _, known := c.LastHeardMS("m3"); known {
		t.Error("a hint is reported for m3, which has none")
	}
	if values := c.UnreachableHintValues(); !slices.Equal(values, []string{first, second}) {
		t.Errorf("stored values are %q", values)
	}
	if c.Apply("w/s", nil, 5); c.UnreachableHintValues() != nil {
		t.Error("a deleted shard is still cached")
	}
}

// TestFinalStates checks that the oldest final state is evicted when the cache is full.
func TestFinalStates(t *testing.T) {
	c := New(maxFinalStates)
	for i, id := range []string{"a", "b", "a", "c", "d"} {
		c.AddFinalState(id, stored.FinalState{State: wire.JobDone, Done: i})
	}
	if _, known := c.FinalState("a"); known || c.FinalStateCount() != maxFinalStates {
		t.Errorf("the oldest of the final states is still cached, or their number %d is not the limit", c.FinalStateCount())
	}
	if final, known := c.FinalState("d"); !known || final.Done != 4 {
		t.Errorf("the newest final state is %+v", final)
	}
}
