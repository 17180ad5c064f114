package core_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"bitternwing/internal/config"
	"bitternwing/internal/core"
	"bitternwing/internal/wire"
)

// These tests play fleets that are larger than what one value, page or message holds.

// largeFleet is the number of machines that no fixed limit may stand below, and some more.
const largeFleet = 4400

// newFleetOf has so many machines up in three zones, one of which has no nodes, with settings that carry them.
func newFleetOf(t *testing.T, nodes, machines int) *scaleCluster {
	t.Helper()
	y := newLargeScaleCluster(t, nodes, 0)
	y.op.IdleBoots = 100
	y.adjust = func(p *config.Params) {
		p.Store = config.Store{RPS: 2000, WriteRPS: 1000, ValueKB: 16, TxnOps: 48}
		p.Cloud.RPS = 8
		p.Limits = config.Limits{CPUShare: 1, MemoryMB: 1000, MaxConnections: 3 * machines}
		for i := range p.Teams {
			p.Teams[i].MaxGPUs = 0
		}
	}
	y.restart()
	y.have(machines, "z1", "z2", "z3")
	y.pass(10 * time.Second)
	return y
}

// restart starts all nodes anew.
func (y *scaleCluster) restart() {
	for i := range y.nodes {
		y.start(i)
	}
	y.pass(3 * time.Second)
}

// submitServices hands in services of one task, as many at a time as the nodes take.
func (y *scaleCluster) submitServices(n int, gpus float64) {
	for i := range n {
		y.submit(wire.Job{Kind: wire.KindService, Tasks: 1, GPUs: gpus})
		if i%100 == 99 {
			y.pass(100 * time.Millisecond)
		}
	}
}

// leaderNode gives the node that leads; nil if none does.
func (y *scaleCluster) leaderNode() *scaleNode {
	for _, n := range y.nodes {
		if n.core.PeerStatus().Leading {
			return n
		}
	}
	return nil
}

// follower gives a node that does not lead.
func (y *scaleCluster) follower() *scaleNode {
	for _, n := range y.nodes {
		if !n.core.PeerStatus().Leading {
			return n
		}
	}
	y.t.Fatal("all nodes lead")
	return nil
}

// TestLargeFleet plays 4,400 machines through a leader's end. The next one goes on starting, and gives back
// nothing that works.
func TestLargeFleet(t *testing.T) {
	y := newFleetOf(t, 3, largeFleet)
	y.submitServices(1500, 1)
	y.day(0, 60, 10)
	before := y.started
	y.crash()
	y.day(0, 60, 12)
	t.Logf("%d machines, %d starts before and %d after the leader's end, %+v", y.rented, before, y.started-before, y.counted)
	if y.rented < largeFleet || y.counted.released > 0 {
		t.Errorf("%d machines are up, %d with work were released", y.rented, y.counted.released)
	}
	if before < 5000 || y.started-before < 1000 {
		t.Errorf("%d starts before the leader's end, %d after it", before, y.started-before)
	}
}

// TestListOfManyPages has a cloud that lists 4,400 machines in nine pages and answers two requests a second. The list
// is read all the same, and what is missing is rented.
func TestListOfManyPages(t *testing.T) {
	y := newLargeScaleCluster(t, 1, 0)
	y.op.IdleBoots = 100
	y.adjust = func(p *config.Params) { p.Cloud.RPS = 2 }
	y.cloudRate = 2
	y.restart()
	y.have(largeFleet)
	y.most += 10
	y.pass(10 * time.Second)
	y.submit(wire.Job{Kind: wire.KindService, Tasks: 1, GPUs: 1, Zone: "z2"})
	y.pass(60 * time.Second)
	if pages := y.counted.pages; y.rented <= largeFleet || pages < 40 {
		t.Errorf("%d machines after %d pages of the list", y.rented, pages)
	}
	if y.tooMany > 0 {
		t.Errorf("%d requests were above the cloud's rate", y.tooMany)
	}
}

// TestManyUnreachableMachines silences a zone of 1,200 machines, and ends the leader. The next one knows of all of them
// since when they are silent, and gives them back as soon as the last one would have.
func TestManyUnreachableMachines(t *testing.T) {
	const machines = 3600
	y := newFleetOf(t, 3, machines)
	y.submitServices(machines, 5) // one on each machine
	y.pass(10 * time.Second)
	if len(y.holders) != machines {
		t.Fatalf("%d of %d machines have work", len(y.holders), machines)
	}
	y.apart = "z3"
	y.pass(9 * time.Second)
	told := map[string]int64{}
	for _, key := range storedKeys(y.store, "w/s") {
		item, _ := y.store.Get(key)
		if err := json.Unmarshal(item.Value, &told); err != nil {
			t.Fatal(key, err)
		}
	}
	y.crash()
	y.pass(15 * time.Second)
	left := 0
	for _, w := range y.workers {
		if w.zone == "z3" && !w.dead {
			left++
		}
	}
	if len(told) != 1200 || left > 0 {
		t.Errorf("%d machines are in the hints, %d are kept after 24 s, of 1200", len(told), left)
	}
	y.apart = ""
	y.pass(10 * time.Second)
	if keys := storedKeys(y.store, "w/s"); len(keys) > 0 {
		t.Errorf("%v are left when nothing is silent", keys)
	}
}

// TestCountsOfManyJobs has more jobs running than eight values hold counts of. Each is shown as running at a node that
// does not lead.
func TestCountsOfManyJobs(t *testing.T) {
	y := newLargeScaleCluster(t, 2, 0)
	y.adjust = func(p *config.Params) { p.Store.ValueKB = 2 }
	y.restart()
	y.have(120)
	y.pass(10 * time.Second)
	const jobs = 800
	y.submitServices(jobs, 1)
	y.pass(90 * time.Second)
	n, pending := y.follower(), 0
	for _, id := range y.live {
		y.req++
		y.step(n, core.GetJob{RequestID: y.req << 16, ID: id})
		y.pass(100 * time.Millisecond)
		if s, ok := y.polled.(wire.JobState); !ok || s.State != wire.JobRunning {
			pending++
		}
	}
	if len(y.live) != jobs || len(y.holders) != jobs || pending > 0 {
		t.Errorf("%d jobs with %d tasks, %d are not shown as running", len(y.live), len(y.holders), pending)
	}
}

// TestManyUnsettledCancellations cancels more jobs at once, whose tasks wait for their image on machines that don't
// answer any more, than a node's status can list. No user is told of any of them.
func TestManyUnsettledCancellations(t *testing.T) {
	y := newLargeScaleCluster(t, 2, 0)
	y.adjust = func(p *config.Params) { p.Store.WriteRPS = 1000 }
	y.restart()
	y.have(200)
	y.pass(10 * time.Second)
	const jobs = 1300
	var ids []string
	for i := range jobs {
		id := fmt.Sprintf("run-%020d", i)
		ids = append(ids, id)
		y.hand(y.nodes[i%2], &wire.Job{ID: id, Kind: wire.KindService, Class: "c", Team: fmt.Sprintf("t%d", i%12), Tasks: 1,
			CPUs: 4, GPUs: 1, MemoryGB: 20, Priority: "prod", Image: "img-1", ImageGB: 300})
		if i%100 == 99 {
			y.pass(100 * time.Millisecond)
		}
	}
	y.pass(3 * time.Second)
	if len(y.holders) != jobs {
		t.Fatalf("%d tasks of %d wait for their image", len(y.holders), jobs)
	}
	for _, w := range y.workers {
		w.dead = true
	}
	n := y.follower()
	y.told = map[uint64]int{}
	for i, id := range ids {
		y.req++
		y.step(n, core.CancelJob{RequestID: y.req << 16, ID: id})
		if i%100 == 99 {
			y.pass(600 * time.Millisecond)
		}
	}
	y.pass(time.Second)
	statuses := map[int]int{}
	for _, status := range y.told {
		statuses[status]++
	}
	if statuses[503] != jobs {
		t.Errorf("answers by status: %v", statuses)
	}
	for _, x := range y.nodes {
		s := x.core.PeerStatus()
		listed := len(strings.Join(s.UnresolvedCancellations, ",,"))
		if s.Leading && (!s.MoreUnresolved || listed > 32<<10) {
			t.Errorf("%d unsettled jobs in %d bytes, more: %v", len(s.UnresolvedCancellations), listed, s.MoreUnresolved)
		}
	}
}

// TestSmallSettingsAreLoggedOnce grows a fleet beyond what the settings carry. Each field is named in one line, once.
func TestSmallSettingsAreLoggedOnce(t *testing.T) {
	y := newLargeScaleCluster(t, 1, 0)
	y.have(900)
	y.pass(10 * time.Second)
	if len(y.logged) > 0 {
		t.Errorf("logged for 900 machines: %v", y.logged)
	}
	for range 3 {
		y.have(200)
		y.pass(6 * time.Second)
	}
	if n := y.logged["params.limits.max_connections"]; n != 1 {
		t.Errorf("1,500 machines: %v", y.logged)
	}
	for field, n := range y.logged {
		if n != 1 {
			t.Errorf("%s was logged %d times", field, n)
		}
	}
}
