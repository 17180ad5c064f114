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

// scheduledAction is an action that is due at a time after the start.
type scheduledAction struct {
	dueAt  time.Duration
	action func() error
}

// faultSchedule returns the actions that begin and end the scenario's faults, ordered by time.
func (sim *simulation) faultSchedule() []scheduledAction {
	var actions []scheduledAction
	for i, f := range sim.scenario.Faults {
		at := config.Seconds(f.AtS)
		begin, end := sim.faultActions(f, uint64(i))
		actions = append(actions, scheduledAction{at, begin})
		if end != nil && f.ForS > 0 {
			actions = append(actions, scheduledAction{at + config.Seconds(f.ForS), end})
		}
	}
	slices.SortStableFunc(actions, func(a, b scheduledAction) int { return cmp.Compare(a.dueAt, b.dueAt) })
	return actions
}

// injectDueFaults executes the fault actions that are due.
func (sim *simulation) injectDueFaults() error {
	for len(sim.pendingFaults) > 0 && sim.now() >= sim.pendingFaults[0].dueAt {
		action := sim.pendingFaults[0].action
		sim.pendingFaults = sim.pendingFaults[1:]
		if err := action(); err != nil {
			return err
		}
	}
	return nil
}

// faultActions returns the actions that begin and end a fault. end is nil for a fault without a duration. stream
// selects the random numbers of the fault.
func (sim *simulation) faultActions(fault Fault, stream uint64) (begin, end func() error) {
	switch fault.Kind {
	case KillLeader:
		return sim.killLeader, nil
	case KillControllers:
		return sim.killControllers, nil
	case KillWorkers:
		return func() error { return killWorkers(sim.pickWorkers(fault, stream)) }, nil
	case KillWorstZone:
		return sim.killWorstZone, nil
	case RackUnreachable:
		return sim.rackFault(fault, stream, (*simworker.Worker).SetUnreachable)
	case RackUnlisted:
		return sim.rackFault(fault, stream, func(w *simworker.Worker, unlisted bool) { sim.cloud.SetUnlisted(w.Name(), unlisted) })
	case FailTasks:
		return sim.rackFault(fault, stream, (*simworker.Worker).SetFailing)
	case RefuseStarts:
		return sim.rackFault(fault, stream, (*simworker.Worker).SetRefusing)
	case HoldCommands:
		return sim.rackFault(fault, stream, (*simworker.Worker).SetHoldingCommands)
	case RestartWorkers, RestartWorkersAnew:
		return func() error {
			for _, w := range sim.pickWorkers(fault, stream) {
				w.Restart(fault.Kind == RestartWorkersAnew)
			}
			return nil
		}, nil
	case ReleasesRefused:
		return switchActions(sim.cloud.SetReleasesRefused)
	case CopyCommands:
		return switchActions(sim.fleet.SetCommandCopies)
	case ZonePartitioned:
		return func() error { return sim.setZonePartitioned(fault.Zone, true) },
			func() error { return sim.setZonePartitioned(fault.Zone, false) }
	case StoreDown:
		return func() error { return sim.setStoreDown(true) }, func() error { return sim.setStoreDown(false) }
	}
	return func() error { return fmt.Errorf("fault of unknown kind %q", fault.Kind) }, nil
}

// rackFault returns the actions that begin and end a fault of a rack of workers.
func (sim *simulation) rackFault(fault Fault, stream uint64, set func(w *simworker.Worker, faulty bool)) (begin, end func() error) {
	var rack []*simworker.Worker
	return switchActions(func(on bool) {
		if on {
			rack = sim.pickWorkers(fault, stream)
		}
		for _, w := range rack {
			set(w, on)
		}
	})
}

// switchActions returns the actions that switch a fault on and off.
func switchActions(set func(on bool)) (begin, end func() error) {
	begin = func() error { set(true); return nil }
	return begin, func() error { set(false); return nil }
}

// restartTime returns when a controller that is killed now is restarted.
func (sim *simulation) restartTime() time.Duration {
	return sim.now() + config.Seconds(sim.scenario.Controllers.RestartS)
}

func (sim *simulation) killLeader() error {
	name, _ := sim.leader()
	leader := sim.controllers.byName(name)
	if leader == nil {
		return fmt.Errorf("no leader to kill at %.0f s", sim.now().Seconds())
	}
	sim.recorder.recordLeaderKill(name)
	return sim.controllers.kill(leader, sim.restartTime())
}

func (sim *simulation) killControllers() error {
	leader, _ := sim.leader()
	sim.recorder.recordLeaderKill(leader)
	for _, process := range sim.controllers.list {
		if err := sim.controllers.kill(process, sim.restartTime()); err != nil {
			return err
		}
	}
	return nil
}

// pickWorkers draws the workers that a fault hits, from its zone if it names one. The workers of a rack are consecutive
// in the order of their names.
func (sim *simulation) pickWorkers(fault Fault, stream uint64) []*simworker.Worker {
	var candidates []*simworker.Worker
	for _, w := range sim.fleet.Workers() {
		if fault.Zone == "" || w.Zone() == fault.Zone {
			candidates = append(candidates, w)
		}
	}
	slices.SortFunc(candidates, func(a, b *simworker.Worker) int { return cmp.Compare(a.Name(), b.Name()) })
	random := rand.New(rand.NewPCG(sim.scenario.Seed, stream))
	if fault.Kind.hitsRack() {
		first := random.IntN(max(1, len(candidates)-fault.Count+1))
		return candidates[first:min(len(candidates), first+fault.Count)]
	}
	random.Shuffle(len(candidates), func(i, k int) { candidates[i], candidates[k] = candidates[k], candidates[i] })
	return candidates[:min(len(candidates), fault.Count)]
}

// hitsRack reports whether a fault hits workers that are next to each other, rather than any workers.
func (kind FaultKind) hitsRack() bool {
	return kind == RackUnreachable || kind == RackUnlisted || kind == FailTasks || kind == RefuseStarts || kind == HoldCommands
}

// killWorstZone kills all workers of the zone with the most replicas of a single model.
func (sim *simulation) killWorstZone() error {
	zone := sim.recorder.placements.recordWorstZoneLoss()
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

func (sim *simulation) setStoreDown(down bool) error {
	sim.store.SetDown(down)
	return nil
}

// setZonePartitioned begins or ends a partition between a zone and everything outside it, including the key-value store
// and the cloud.
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
