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

// jobValue is the stored value of a job that was accepted at a time.
func jobValue(t *testing.T, acceptedMS int64) json.RawMessage {
	t.Helper()
	value, err := stored.Job{Spec: &wire.Job{Tasks: 1}, AcceptedMS: acceptedMS}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// checkJobs compares the active jobs with the wanted ones, by id and time of acceptance.
func checkJobs(t *testing.T, c *Cache, want map[string]int64) {
	t.Helper()
	if c.JobCount() != len(want) {
		t.Errorf("jobs %v", c.JobIDs())
	}
	for id, acceptedMS := range want {
		if job := c.Job(id); job == nil || job.AcceptedMS != acceptedMS {
			t.Errorf("%s is %+v", id, job)
		}
	}
}

// TestJobVersions shows that a job goes by its newest value, and that a value that can't be decoded changes nothing.
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
		t.Error("jobs that are not cancelled, or not there, are shown as cancelled")
	}
	c.Apply("w/a/run-000001", nil, 7)
	checkJobs(t, c, nil)
}

// TestReplace shows what a list does that began at revision 20 and took two pages: what it lacks is gone, but for what
// became known after it began.
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
		t.Error("a list shows before it is whole")
	}
	listing.AddPage(wire.Page{Revision: 25, Items: []wire.Item{{Key: "w/a/same", Value: jobValue(t, 4), Version: 12}, {Key: "w/a/later", Value: jobValue(t, 5), Version: 24}}})
	c.Replace(listing)

	checkJobs(t, c, map[string]int64{"accepted": 2, "changed": 3, "same": 4, "later": 5})
	if !c.Ready() || c.Revision() != 20 {
		t.Errorf("the watch would begin after revision %d", c.Revision())
	}
	if counts := c.TaskCounts("same"); counts != (stored.TaskCounts{}) {
		t.Errorf("counts that are gone are %+v", counts)
	}
	if len(c.Catalog()) != 1 {
		t.Error("the machine types are forgotten")
	}
	if _, known := c.FinalState("over"); !known {
		t.Error("a final state is forgotten")
	}
	if c.Advance(19); c.Revision() != 20 {
		t.Errorf("went back to revision %d", c.Revision())
	}
}

// TestLeaderAndTerm shows that the leader goes with its key, and that the term never goes back, nor its format.
func TestLeaderAndTerm(t *testing.T) {
	c := New(maxFinalStates)
	c.Apply("w/lead", json.RawMessage(`{"node":"a","inc":"a/1","lease":3,"term":2}`), 7)
	if !c.HasLeader() || c.Leader().Node != "a" || c.LeaderCondition() != (wire.Condition{Key: "w/lead", Version: 7}) {
		t.Errorf("the leader is %+v", c.Leader())
	}
	if c.Apply("w/lead", nil, 9); c.HasLeader() || c.Leader() != (stored.Leader{}) || c.LeaderCondition().Version != 0 {
		t.Errorf("without a leader it is %+v", c.Leader())
	}
	c.Apply("w/term", json.RawMessage(`{"term":[2],"node":"a"}`), 7)
	c.ObserveTerm(stored.Term{Number: 3, Node: "b"}, stored.BaseTermFormat, 8)
	c.Apply("w/term", json.RawMessage(`{"term":[2],"node":"a"}`), 7)
	c.Apply("w/term", nil, 9)
	if c.Term() != (stored.Term{Number: 3, Node: "b"}) || c.TermVersion() != 8 || c.TermFormat() != stored.RolloutsTermFormat {
		t.Errorf("the term is %+v at %d, for versions that know %s", c.Term(), c.TermVersion(), c.TermFormat())
	}
}

// TestRecordLayout shows that the first layout is the one that is not stored.
func TestRecordLayout(t *testing.T) {
	c := New(maxFinalStates)
	if _, known := c.RecordLayout(); known {
		t.Error("there is a layout")
	}
	layout := record.Layout{ByIndex: 128, ByTask: 32}
	c.ObserveRecordLayout(layout, 5)
	c.ObserveRecordLayout(record.Layout{ByIndex: 128, ByTask: 16}, 4)
	if got, known := c.RecordLayout(); !known || got != layout {
		t.Errorf("the layout is %+v, %v", got, known)
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

// TestPlans shows that a plan that can't be read any more goes on holding its jobs, until it is deleted.
func TestPlans(t *testing.T) {
	c := New(maxFinalStates)
	c.Apply("w/p/chat", planValue(t, "chat", "svc-1"), 5)
	c.Apply("w/p/mail", planValue(t, "mail", "svc-2"), 6)
	if c.PlanCount() != 2 || !slices.Equal(c.PlanNames(), []string{"chat", "mail"}) || c.PlanHolding("svc-2") != c.Plan("mail") {
		t.Errorf("plans %v", c.PlanNames())
	}
	c.Apply("w/p/chat", json.RawMessage(`[]`), 7)
	if p := c.PlanHolding("svc-1"); p == nil || p.Record == nil || !errors.Is(p.Problem, rollout.ErrUnreadable) {
		t.Errorf("the spoiled plan is %+v", p)
	}
	c.Apply("w/p/chat", nil, 8)
	if c.Plan("chat") != nil || c.PlanHolding("svc-1") != nil || c.PlanHolding("svc-2") == nil {
		t.Errorf("plans %v", c.PlanNames())
	}
	listing := NewListing()
	listing.AddPage(wire.Page{Revision: 9})
	if c.Replace(listing); c.PlanCount() != 0 || c.PlanHolding("svc-2") != nil {
		t.Errorf("plans %v", c.PlanNames())
	}
}

// TestQuotaAccounts shows that a deleted account is one that can't be read, and that changes are counted.
func TestQuotaAccounts(t *testing.T) {
	c, key := New(maxFinalStates), stored.QuotaAccountKey("red")
	c.Apply(key, json.RawMessage(`{"w":{},"h":{"l":{"g":8}}}`), 5)
	c.Apply(key, json.RawMessage(`{"w":{},"h":{"l":{"g":9}}}`), 5)
	if a := c.QuotaAccount(key); a.Problem != nil || a.Account.Held.Limit.GPUs != 8 || c.QuotaAccountCount() != 1 || c.QuotaAccountChanges() != 1 {
		t.Errorf("the account is %+v after %d changes", a, c.QuotaAccountChanges())
	}
	c.Apply(key, nil, 6)
	if a := c.QuotaAccount(key); a.Account != nil || !errors.Is(a.Problem, quota.ErrUnreadable) || c.QuotaAccountChanges() != 2 {
		t.Errorf("the deleted account is %+v after %d changes", a, c.QuotaAccountChanges())
	}
}

// TestHints reads the hints of an earlier leader.
func TestHints(t *testing.T) {
	c := New(maxFinalStates)
	c.Apply("w/i/0", json.RawMessage(`{"m1":["a","b"]}`), 1)
	c.Apply("w/i/1", json.RawMessage(`spoiled`), 2)
	if images := c.Images("m1"); !slices.Equal(images, []string{"a", "b"}) || c.Images("m2") != nil {
		t.Errorf("images %v, %v", images, c.Images("m2"))
	}
	first, second := `{"m1":100,"m2":200}`, `{"m1":300}`
	c.Apply("w/s", json.RawMessage(first), 3)
	c.Apply("w/s/1", json.RawMessage(second), 4)
	if at, known := c.LastHeardMS("m1"); at != 300 || !known {
		t.Errorf("m1 was heard at %d, %v", at, known)
	}
	if _, known := c.LastHeardMS("m3"); known {
		t.Error("m3 was never heard")
	}
	if values := c.UnreachableHintValues(); !slices.Equal(values, []string{first, second}) {
		t.Errorf("stored as %v", values)
	}
	if c.Apply("w/s", nil, 5); c.UnreachableHintValues() != nil {
		t.Error("a deleted shard is still there")
	}
}

// TestFinalStates shows that the oldest final state makes way.
func TestFinalStates(t *testing.T) {
	c := New(maxFinalStates)
	for i, id := range []string{"a", "b", "a", "c", "d"} {
		c.AddFinalState(id, stored.FinalState{State: wire.JobDone, Done: i})
	}
	if _, known := c.FinalState("a"); known || c.FinalStateCount() != maxFinalStates {
		t.Errorf("%d final states", c.FinalStateCount())
	}
	if final, known := c.FinalState("d"); !known || final.Done != 4 {
		t.Errorf("the last one is %+v", final)
	}
}
