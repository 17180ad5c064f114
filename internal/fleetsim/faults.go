package fleetsim

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bitternwing/internal/config"
	"bitternwing/internal/simworker"
)

// scheduledAction is an action with the time at which it is due.
type scheduledAction struct {
	dueAt  time.Duration
	action func() error
}

// schedule gives the actions of the scenario's faults, in order of their times.
func (sim *simulation) schedule() []scheduledAction {
	var all []scheduledAction
	for i, f := range sim.scenario.Faults {
		at := config.Seconds(f.AtS)
		begin, end := sim.fault(f, uint64(i))
		all = append(all, scheduledAction{at, begin})
		if end != nil && f.ForS > 0 {
			all = append(all, scheduledAction{at + config.Seconds(f.ForS), end})
		}
	}
	slices.SortStableFunc(all, func(a, b scheduledAction) int { return cmp.Compare(a.dueAt, b.dueAt) })
	return all
}

// injectDueFaults does the actions that are due.
func (sim *simulation) injectDueFaults() error {
	for len(sim.faults) > 0 && sim.now() >= sim.faults[0].dueAt {
		action := sim.faults[0].action
		sim.faults = sim.faults[1:]
		if err := action(); err != nil {
			return err
		}
	}
	return nil
}

// fault gives the actions that begin and end a fault; no end: it ends by itself.
func (sim *simulation) fault(fault Fault, number uint64) (begin, end func() error) {
	switch fault.Kind {
	case KillLeader:
		return sim.killLeader, nil
	case KillControllers:
		return sim.killControllers, nil
	case KillWorkers:
		return func() error { return killWorkers(sim.pickWorkers(fault, number)) }, nil
	case KillWorstZone:
		return sim.killWorstZone, nil
	case RackUnreachable:
		var rack []*simworker.Worker
		begin = func() error {
			rack = sim.pickWorkers(fault, number)
			return setUnreachable(rack, true)
		}
		return begin, func() error { return setUnreachable(rack, false) }
	case ZonePartitioned:
		return func() error { return sim.setZonePartitioned(fault.Zone, true) },
			func() error { return sim.setZonePartitioned(fault.Zone, false) }
	case StoreDown:
		return func() error { return sim.setStoreDown(true) }, func() error { return sim.setStoreDown(false) }
	}
	return func() error { return fmt.Errorf("a fault of the unknown kind %q", fault.Kind) }, nil
}

// restartTime is when a controller that is killed now is restarted.
func (sim *simulation) restartTime() time.Duration {
	return sim.now() + config.Seconds(sim.scenario.Controllers.RestartS)
}

func (sim *simulation) killLeader() error {
	name, _ := sim.leader()
	leader := sim.controllers.named(name)
	if leader == nil {
		return fmt.Errorf("no controller leads at %.0f s", sim.now().Seconds())
	}
	sim.recorder.leaderKilled(name)
	return sim.controllers.kill(leader, sim.restartTime())
}

func (sim *simulation) killControllers() error {
	name, _ := sim.leader()
	sim.recorder.leaderKilled(name)
	for _, process := range sim.controllers.list {
		if err := sim.controllers.kill(process, sim.restartTime()); err != nil {
			return err
		}
	}
	return nil
}

// pickWorkers draws the workers of a fault, of its zone if it names one. A rack is a run of neighbours.
func (sim *simulation) pickWorkers(fault Fault, number uint64) []*simworker.Worker {
	var all []*simworker.Worker
	for _, w := range sim.fleet.Workers() {
		if fault.Zone == "" || w.Zone() == fault.Zone {
			all = append(all, w)
		}
	}
	slices.SortFunc(all, func(a, b *simworker.Worker) int { return cmp.Compare(a.Name(), b.Name()) })
	random := rand.New(rand.NewPCG(sim.scenario.Seed, number))
	if fault.Kind == RackUnreachable {
		first := random.IntN(max(1, len(all)-fault.Count+1))
		return all[first:min(len(all), first+fault.Count)]
	}
	random.Shuffle(len(all), func(i, k int) { all[i], all[k] = all[k], all[i] })
	return all[:min(len(all), fault.Count)]
}

// killWorstZone ends all machines of the zone whose loss takes the most replicas of a model.
func (sim *simulation) killWorstZone() error {
	zone := sim.recorder.placements.worstZone()
	var lost []*simworker.Worker
	for _, w := range sim.fleet.Workers() {
		if w.Zone() == zone {
			lost = append(lost, w)
		}
	}
	return killWorkers(lost)
}

func killWorkers(workers []*simworker.Worker) error {
	for _, w := range workers {
		w.Kill()
	}
	return nil
}

func setUnreachable(workers []*simworker.Worker, unreachable bool) error {
	for _, w := range workers {
		w.SetUnreachable(unreachable)
	}
	return nil
}

func (sim *simulation) setStoreDown(down bool) error {
	sim.store.SetDown(down)
	return nil
}

// setZonePartitioned begins or ends a partition between a zone and all outside it.
func (sim *simulation) setZonePartitioned(zone string, partitioned bool) error {
	sim.fleet.SetZonePartitioned(zone, partitioned)
	sim.controllers.setZonePartitioned(zone, partitioned)
	for _, process := range sim.controllers.list {
		if process.zone == zone {
			sim.store.SetPartitioned(process.name, partitioned)
			sim.cloud.SetPartitioned(process.name, partitioned)
		}
	}
	return nil
}
