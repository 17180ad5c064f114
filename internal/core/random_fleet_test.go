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

// randomFleet is a leader with a fleet drawn by rapid.
type randomFleet struct {
	*rapid.T
	l     *leader
	types []*wire.MachineType
	made  int
}

var randomZones = []string{"", "z1", "z2", "z3"}

func newRandomFleet(t *rapid.T) *randomFleet {
	set := &config.Settings{Node: "a", Zone: "z1", Params: config.Params{Zones: randomZones[1:],
		Teams:   []config.Team{{Name: "red", GuaranteedGPUs: 2, MaxGPUs: 64}, {Name: "blue", GuaranteedGPUs: 8, MaxGPUs: 64}, {Name: "guest"}},
		Workers: config.Workers{HeartbeatIntervalS: 1, LeaseS: 10, CancelDeadlineS: 30}, Store: config.Store{RPS: 100, WriteRPS: 100, ValueKB: 16, TxnOps: 12},
		Cloud: config.Cloud{RPS: 1, ListLagS: 1}, Limits: config.ProcessLimits{CPUShare: 1, MemoryMB: 98, MaxConnections: 100}}}
	c := New(set, "test")
	c.now = Time{Steady: time.Hour, WallMS: 3_600_000}
	l := newLeader(c, 1, 1)
	l.recovered = true
	l.records.layout = c.layout()
	c.leader = l
	f := &randomFleet{T: t, l: l, types: []*wire.MachineType{
		{Name: "g4", GPUs: 4, CPUs: 16, MemoryGB: 64, CacheGB: 8, FetchGBPerS: 0.2}, {Name: "g2", GPUs: 2, CPUs: 16, MemoryGB: 16, CacheGB: 8, FetchGBPerS: 0.5}, {Name: "c8", CPUs: 8, MemoryGB: 32, CacheGB: 8}}}
	for _, mt := range f.types {
		c.catalog.types = append(c.catalog.types, *mt)
	}
	rates := []float64{0, 0.001, 0.02, 1}
	c.operator.Spread = config.Spread{Enabled: f.chance("places are weighed", 2), ZoneLossesPerDay: rapid.SampledFrom(rates).Draw(t, "zone losses"),
		MachineLossesPerDay: rapid.SampledFrom(rates).Draw(t, "machine losses"), ReplicaDays: 30}
	for range rapid.SampledFrom([]int{1, 3, 8, 20, 60}).Draw(t, "machines") {
		f.addMachine()
	}
	return f
}

func (f *randomFleet) number(what string, least, most int) int {
	return rapid.IntRange(least, most).Draw(f.T, what)
}

func (f *randomFleet) chance(what string, oneIn int) bool { return f.number(what, 1, oneIn) == oneIn }

func (f *randomFleet) addMachine() {
	f.made++
	m := f.l.findOrAddMachine(fmt.Sprintf("host-%03d", f.number("name", 0, 999)))
	m.setType(rapid.SampledFrom(f.types).Draw(f.T, "type"))
	m.setIdentity(m.machineType.Name, rapid.SampledFrom(randomZones[1:]).Draw(f.T, "zone"), "x", f.chance("spot", 3))
	m.reportedInTerm, m.lastHeartbeat = true, f.l.core.now.Steady
}

func (f *randomFleet) addJob() *job {
	f.made++
	if len(f.l.queue) > 0 && f.chance("like another", 2) {
		like := f.anyJob()
		spec := *like.spec
		spec.ID = fmt.Sprintf("run-%06d", f.made)
		return f.queue(&spec, like.rank, like.team)
	}
	spec := &wire.Job{ID: fmt.Sprintf("run-%06d", f.made), Kind: rapid.SampledFrom([]wire.JobKind{wire.KindArray, wire.KindArray, wire.KindService}).Draw(f.T, "kind"),
		Team:  rapid.SampledFrom([]string{"red", "blue", "guest", "gone"}).Draw(f.T, "team"),
		Tasks: f.number("tasks", 1, 6), GPUs: float64(f.number("gpus", 0, 4)) / 2, CPUs: float64(f.number("cpus", 1, 6)), MemoryGB: float64(f.number("memory", 1, 6)),
		Image: rapid.SampledFrom([]string{"i1", "i2", "i3", "i4"}).Draw(f.T, "image"), ImageGB: 3,
		SingleZone: f.chance("one zone", 4), SpreadZones: f.chance("spread", 4), Spot: f.chance("may be spot", 2)}
	if f.chance("in a zone", 5) {
		spec.Zone = "z2"
	}
	if f.chance("of a type", 5) {
		spec.MachineTypes = []string{"g4", "c8"}
	}
	team := f.l.core.team(spec.Team)
	if team == nil && f.chance("of a team that there is", 2) {
		team = f.l.core.team("guest")
	}
	return f.queue(spec, f.number("rank", 0, capacity.Ranks-1), team)
}

func (f *randomFleet) queue(spec *wire.Job, rank int, team *config.Team) *job {
	j := f.l.addJob(spec.ID, &watchcache.Job{Job: stored.Job{Spec: spec}})
	j.rank, j.team = rank, team
	return j
}

func (f *randomFleet) anyJob() *job {
	return f.l.queue[f.number("job", 0, len(f.l.queue)-1)]
}

func (f *randomFleet) anyMachine() *machine {
	return f.l.machinesByName[f.number("machine", 0, len(f.l.machinesByName)-1)]
}

func (f *randomFleet) anyPlacement() *placement {
	m := f.anyMachine()
	if len(m.placementsInOrder) == 0 {
		return nil
	}
	return m.placementsInOrder[f.number("placement", 0, len(m.placementsInOrder)-1)]
}

// randomEvent changes something between two cycles.
func (f *randomFleet) randomEvent() {
	l, m := f.l, f.anyMachine()
	switch f.number("event", 0, 19) {
	case 0:
		f.addMachine()
	case 1:
		if len(l.machinesByName) > 1 {
			l.removeMachine(m, "gone")
		}
	case 2, 3, 4:
		if p := f.anyPlacement(); p != nil {
			l.endPlacement(p)
		}
	case 5, 13, 14:
		if p := f.anyPlacement(); p != nil && p.stop == stopNone {
			p.phase = phaseSent
			p.requestStop(stopAfterCheckpoint, stopDrain)
		}
	case 6:
		m.reclaiming = !m.reclaiming
	case 7:
		m.lastHeartbeat -= time.Minute
	case 8:
		m.lastHeartbeat = l.core.now.Steady
	case 9:
		m.setIdentity(m.typeName, rapid.SampledFrom(randomZones).Draw(f.T, "its zone"), m.addr, f.chance("spot now", 3))
	case 10:
		m.markImageReady(rapid.SampledFrom([]string{"i1", "i2", "i3", "i4"}).Draw(f.T, "ready"))
	case 11:
		j := f.anyJob()
		j.failedOn = map[string]bool{m.name: true}
		j.markMachineCapacityChanged()
		j.rank = f.number("rank now", 0, capacity.Ranks-1)
	case 17:
		// Limits and guarantees fall and rise.
		team := &l.core.settings.Params.Teams[f.number("team", 0, 2)]
		team.GuaranteedGPUs, team.MaxGPUs = float64(f.number("guarantee", 0, 12)), float64(f.number("limit", 0, 40))
	case 18:
		// The catalog has another size for the type, which the machine has from now on.
		mt := *m.machineType
		mt.GPUs, mt.CPUs = float64(f.number("its gpus", 0, 6)), float64(f.number("its cpus", 1, 20))
		m.setType(&mt)
	case 19:
		f.loseImages(m)
	case 12, 15, 16:
		f.report(m)
	}
}

// loseImages has the images of a machine fetched anew, or unconfirmed.
func (f *randomFleet) loseImages(m *machine) {
	for i := range m.images {
		m.images[i].state = cachedImageFetching
		if f.chance("unknown", 2) {
			m.images[i].state = cachedImageUnconfirmed
		}
	}
	m.capacityChanged = true
}

// report has a machine report all that is on it, and perhaps a task that nobody knows of.
func (f *randomFleet) report(m *machine) {
	heartbeat := &wire.Heartbeat{Machine: m.name, Incarnation: m.incarnation}
	for _, p := range m.placementsInOrder {
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{Task: p.name(), Attempt: p.attempt, State: wire.TaskRunning})
	}
	if f.chance("stray", 2) {
		stray := rapid.SampledFrom([]string{f.anyJob().id + "/5", "run-999999/0"}).Draw(f.T, "which")
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{Task: stray, Attempt: 99, State: wire.TaskRunning})
	}
	f.l.reconciler.reconcileTasks(m, heartbeat, originPeriodic)
}
