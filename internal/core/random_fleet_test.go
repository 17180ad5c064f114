package core

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"bitternwing/internal/capacity"
	"bitternwing/internal/config"
	"bitternwing/internal/stored"
	"bitternwing/internal/watchcache"
	"bitternwing/internal/wire"
)

// randomFleet is a leader with machines and jobs that rapid draws.
type randomFleet struct {
	*rapid.T
	leader  *leader
	types   []*wire.MachineType
	created int
}

var randomZones = []string{"", "z1", "z2", "z3"}

func newRandomFleet(t *rapid.T) *randomFleet {
	settings := &config.Settings{Node: "a", Zone: "z1", Params: config.Params{Zones: randomZones[1:],
		Teams:   []config.Team{{Name: "red", GuaranteedGPUs: 2, MaxGPUs: 64}, {Name: "blue", GuaranteedGPUs: 8, MaxGPUs: 64}, {Name: "guest"}},
		Workers: config.Workers{HeartbeatIntervalS: 1, LeaseS: 10, CancelDeadlineS: 30}, Store: config.Store{RPS: 100, WriteRPS: 100, ValueKB: 16, TxnOps: 12},
		Cloud: config.Cloud{RPS: 1, ListLagS: 1}, Limits: config.ProcessLimits{CPUShare: 1, MemoryMB: 98, MaxConnections: 100}}}
	c := New(settings, "test")
	c.now = Time{Steady: time.Hour, WallMS: 3_600_000}
	leader := newLeader(c, 1, 1)
	leader.recovered = true
	leader.records.layout = c.layout()
	c.leader = leader
	f := &randomFleet{T: t, leader: leader, types: []*wire.MachineType{
		{Name: "g4", GPUs: 4, CPUs: 16, MemoryGB: 64, CacheGB: 8, FetchGBPerS: 0.2}, {Name: "g2", GPUs: 2, CPUs: 16, MemoryGB: 16, CacheGB: 8, FetchGBPerS: 0.5}, {Name: "c8", CPUs: 8, MemoryGB: 32, CacheGB: 8}}}
	for _, machineType := range f.types {
		c.catalog.types = append(c.catalog.types, *machineType)
	}
	rates := []float64{0, 0.001, 0.02, 1}
	c.operator.Spread = config.Spread{Enabled: f.oneIn("spread enabled", 2), ZoneLossesPerDay: rapid.SampledFrom(rates).Draw(t, "zone losses"),
		MachineLossesPerDay: rapid.SampledFrom(rates).Draw(t, "machine losses"), ReplicaLifetimeDays: 30}
	for range rapid.SampledFrom([]int{1, 3, 8, 20, 60}).Draw(t, "machines") {
		f.addMachine()
	}
	return f
}

// intBetween draws a number from low to high, both included.
func (f *randomFleet) intBetween(label string, low, high int) int {
	return rapid.IntRange(low, high).Draw(f.T, label)
}

// oneIn draws true with a probability of 1/n.
func (f *randomFleet) oneIn(label string, n int) bool { return f.intBetween(label, 1, n) == n }

func (f *randomFleet) addMachine() {
	f.created++
	m := f.leader.findOrAddMachine(fmt.Sprintf("host-%03d", f.intBetween("name", 0, 999)))
	m.setType(rapid.SampledFrom(f.types).Draw(f.T, "type"))
	m.setIdentity(m.machineType.Name, rapid.SampledFrom(randomZones[1:]).Draw(f.T, "zone"), "x", f.oneIn("spot", 3))
	m.reportedInTerm, m.lastHeartbeat = true, f.leader.core.now.Steady
}

func (f *randomFleet) addJob() *job {
	f.created++
	if len(f.leader.queue) > 0 && f.oneIn("same spec as another job", 2) {
		template := f.randomJob()
		spec := *template.spec
		spec.ID = fmt.Sprintf("run-%06d", f.created)
		return f.enqueue(&spec, template.rank, template.team)
	}
	spec := &wire.Job{ID: fmt.Sprintf("run-%06d", f.created), Kind: rapid.SampledFrom([]wire.JobKind{wire.KindArray, wire.KindArray, wire.KindService}).Draw(f.T, "kind"),
		Team:  rapid.SampledFrom([]string{"red", "blue", "guest", "gone"}).Draw(f.T, "team"),
		Tasks: f.intBetween("tasks", 1, 6), GPUs: float64(f.intBetween("gpus", 0, 4)) / 2, CPUs: float64(f.intBetween("cpus", 1, 6)), MemoryGB: float64(f.intBetween("memory", 1, 6)),
		Image: rapid.SampledFrom([]string{"i1", "i2", "i3", "i4"}).Draw(f.T, "image"), ImageGB: 3,
		SingleZone: f.oneIn("one zone", 4), SpreadZones: f.oneIn("spread", 4), Spot: f.oneIn("spot allowed", 2)}
	if f.oneIn("zone required", 5) {
		spec.Zone = "z2"
	}
	if f.oneIn("type required", 5) {
		spec.MachineTypes = []string{"g4", "c8"}
	}
	team := f.leader.core.team(spec.Team)
	if team == nil && f.oneIn("existing team", 2) {
		team = f.leader.core.team("guest")
	}
	return f.enqueue(spec, f.intBetween("rank", 0, capacity.Ranks-1), team)
}

func (f *randomFleet) enqueue(spec *wire.Job, rank int, team *config.Team) *job {
	j := f.leader.addJob(spec.ID, &watchcache.Job{Job: stored.Job{Spec: spec}})
	j.rank, j.team = rank, team
	return j
}

func (f *randomFleet) randomJob() *job {
	return f.leader.queue[f.intBetween("job", 0, len(f.leader.queue)-1)]
}

func (f *randomFleet) randomMachine() *machine {
	return f.leader.machinesByName[f.intBetween("machine", 0, len(f.leader.machinesByName)-1)]
}

func (f *randomFleet) randomPlacement() *placement {
	m := f.randomMachine()
	if len(m.placementsInOrder) == 0 {
		return nil
	}
	return m.placementsInOrder[f.intBetween("placement", 0, len(m.placementsInOrder)-1)]
}

// randomEvent applies a random change between two scheduling cycles.
func (f *randomFleet) randomEvent() {
	leader, m := f.leader, f.randomMachine()
	switch f.intBetween("event", 0, 19) {
	case 0:
		f.addMachine()
	case 1:
		if len(leader.machinesByName) > 1 {
			leader.removeMachine(m, "gone")
		}
	case 2, 3, 4:
		if p := f.randomPlacement(); p != nil {
			leader.endPlacement(p)
		}
	case 5, 13, 14:
		if p := f.randomPlacement(); p != nil && p.stop == stopNone {
			p.phase = phaseSent
			p.requestStop(stopAfterCheckpoint, stopDrain)
		}
	case 6:
		m.reclaiming = !m.reclaiming
	case 7:
		m.lastHeartbeat -= time.Minute
	case 8:
		m.lastHeartbeat = leader.core.now.Steady
	case 9:
		m.setIdentity(m.typeName, rapid.SampledFrom(randomZones).Draw(f.T, "new zone"), m.addr, f.oneIn("now spot", 3))
	case 10:
		m.markImageReady(rapid.SampledFrom([]string{"i1", "i2", "i3", "i4"}).Draw(f.T, "ready image"))
	case 11:
		j := f.randomJob()
		j.failedOn = map[string]bool{m.name: true}
		j.markMachineCapacityChanged()
		j.rank = f.intBetween("new rank", 0, capacity.Ranks-1)
	case 17:
		// A team's guarantee and limit change.
		team := &leader.core.settings.Params.Teams[f.intBetween("team", 0, 2)]
		team.GuaranteedGPUs, team.MaxGPUs = float64(f.intBetween("guarantee", 0, 12)), float64(f.intBetween("limit", 0, 40))
	case 18:
		// The catalog changes the size of the machine's type.
		machineType := *m.machineType
		machineType.GPUs, machineType.CPUs = float64(f.intBetween("new gpus", 0, 6)), float64(f.intBetween("new cpus", 1, 20))
		m.setType(&machineType)
	case 19:
		f.loseImages(m)
	case 12, 15, 16:
		f.reportTasks(m)
	}
}

// loseImages marks all images of a machine as being fetched, or some of them as unconfirmed.
func (f *randomFleet) loseImages(m *machine) {
	for i := range m.images {
		m.images[i].state = cachedImageFetching
		if f.oneIn("unconfirmed", 2) {
			m.images[i].state = cachedImageUnconfirmed
		}
	}
	m.capacityChanged = true
}

// reportTasks reconciles a heartbeat of a machine with all tasks that are placed on it, and sometimes an unknown one.
func (f *randomFleet) reportTasks(m *machine) {
	heartbeat := &wire.Heartbeat{Machine: m.name, Incarnation: m.incarnation}
	for _, p := range m.placementsInOrder {
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{Task: p.name(), Attempt: p.attempt, State: wire.TaskRunning})
	}
	if f.oneIn("unknown task", 2) {
		unknownTask := rapid.SampledFrom([]string{f.randomJob().id + "/5", "run-999999/0"}).Draw(f.T, "unknown task name")
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{Task: unknownTask, Attempt: 99, State: wire.TaskRunning})
	}
	f.leader.reconciler.reconcileTasks(m, heartbeat, originPeriodic)
}
