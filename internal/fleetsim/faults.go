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

// scheduledAction is something that is done once its time has come.
type scheduledAction struct {
	dueAt  time.Duration
	action func() error
}

// schedule gives what the scenario's faults come to, in order of their times.
func (r *simulation) schedule() []scheduledAction {
	var all []scheduledAction
	for i, f := range r.scenario.Faults {
		at := config.Seconds(f.AtS)
		begin, end := r.fault(f, uint64(i))
		all = append(all, scheduledAction{at, begin})
		if end != nil && f.ForS > 0 {
			all = append(all, scheduledAction{at + config.Seconds(f.ForS), end})
		}
	}
	slices.SortStableFunc(all, func(a, b scheduledAction) int { return cmp.Compare(a.dueAt, b.dueAt) })
	return all
}

// injectDueFaults does what is due.
func (r *simulation) injectDueFaults() error {
	for len(r.faults) > 0 && r.now() >= r.faults[0].dueAt {
		do := r.faults[0].action
		r.faults = r.faults[1:]
		if err := do(); err != nil {
			return err
		}
	}
	return nil
}

// fault gives how a fault begins and ends; no end: it ends by itself.
func (r *simulation) fault(f Fault, number uint64) (begin, end func() error) {
	switch f.Kind {
	case KillLeader:
		return r.killLeader, nil
	case KillControllers:
		return r.killControllers, nil
	case KillWorkers:
		return func() error {
			for _, w := range r.pickWorkers(f, number) {
				w.Die()
			}
			return nil
		}, nil
	case KillWorstZone:
		return r.killWorstZone, nil
	case RackUnreachable:
		var rack []*simworker.Worker
		return func() error { rack = r.pickWorkers(f, number); return setUnreachable(rack, true) },
			func() error { return setUnreachable(rack, false) }
	case ZonePartitioned:
		return func() error { return r.setZonePartitioned(f.Zone, true) }, func() error { return r.setZonePartitioned(f.Zone, false) }
	case StoreDown:
		return func() error { r.store.SetDown(true); return nil }, func() error { r.store.SetDown(false); return nil }
	}
	return func() error { return fmt.Errorf("a fault of the unknown kind %q", f.Kind) }, nil
}

// restartTime is when a controller that ends now is started again.
func (r *simulation) restartTime() time.Duration {
	return r.now() + config.Seconds(r.scenario.Controllers.RestartS)
}

func (r *simulation) killLeader() error {
	name, _ := r.leader()
	x := r.controllers.named(name)
	if x == nil {
		return fmt.Errorf("no controller leads at %.0f s", r.now().Seconds())
	}
	r.recorder.leaderKilled(name)
	return r.controllers.kill(x, r.restartTime())
}

func (r *simulation) killControllers() error {
	name, _ := r.leader()
	r.recorder.leaderKilled(name)
	for _, x := range r.controllers.list {
		if err := r.controllers.kill(x, r.restartTime()); err != nil {
			return err
		}
	}
	return nil
}

// pickWorkers draws the workers of a fault, of its zone if it names one. A rack is a run of neighbours.
func (r *simulation) pickWorkers(f Fault, number uint64) []*simworker.Worker {
	var all []*simworker.Worker
	for _, w := range r.fleet.Workers() {
		if f.Zone == "" || w.Zone() == f.Zone {
			all = append(all, w)
		}
	}
	slices.SortFunc(all, func(a, b *simworker.Worker) int { return cmp.Compare(a.Name(), b.Name()) })
	rnd := rand.New(rand.NewPCG(r.scenario.Seed, number))
	if f.Kind == RackUnreachable {
		first := rnd.IntN(max(1, len(all)-f.Count+1))
		return all[first:min(len(all), first+f.Count)]
	}
	rnd.Shuffle(len(all), func(i, k int) { all[i], all[k] = all[k], all[i] })
	return all[:min(len(all), f.Count)]
}

// killWorstZone ends all machines of the zone whose loss takes the most replicas of a model.
func (r *simulation) killWorstZone() error {
	zone := r.recorder.placements.worstZone()
	for _, w := range r.fleet.Workers() {
		if w.Zone() == zone {
			w.Die()
		}
	}
	return nil
}

func setUnreachable(workers []*simworker.Worker, silent bool) error {
	for _, w := range workers {
		w.SetUnreachable(silent)
	}
	return nil
}

// setZonePartitioned cuts a zone off from all outside it, or ends that.
func (r *simulation) setZonePartitioned(zone string, cut bool) error {
	r.fleet.SetZonePartitioned(zone, cut)
	r.controllers.setZonePartitioned(zone, cut)
	for _, x := range r.controllers.list {
		if x.zone == zone {
			r.store.SetPartitioned(x.name, cut)
			r.cloud.SetPartitioned(x.name, cut)
		}
	}
	return nil
}
