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

// scheduled is something that is done once its time has come.
type scheduled struct {
	at time.Duration
	do func() error
}

// schedule gives what the scenario's faults come to, in order of their times.
func (r *run) schedule() []scheduled {
	var all []scheduled
	for i, f := range r.scenario.Faults {
		at := config.Seconds(f.AtS)
		begin, end := r.fault(f, uint64(i))
		all = append(all, scheduled{at, begin})
		if end != nil && f.ForS > 0 {
			all = append(all, scheduled{at + config.Seconds(f.ForS), end})
		}
	}
	slices.SortStableFunc(all, func(a, b scheduled) int { return cmp.Compare(a.at, b.at) })
	return all
}

// carryOutFaults does what is due.
func (r *run) carryOutFaults() error {
	for len(r.faults) > 0 && r.now() >= r.faults[0].at {
		do := r.faults[0].do
		r.faults = r.faults[1:]
		if err := do(); err != nil {
			return err
		}
	}
	return nil
}

// fault gives how a fault begins and ends; no end: it ends by itself.
func (r *run) fault(f Fault, number uint64) (begin, end func() error) {
	switch f.Kind {
	case KillLeader:
		return r.killLeader, nil
	case KillControllers:
		return r.killAll, nil
	case WorkersDie:
		return func() error {
			for _, w := range r.pick(f, number) {
				w.Die()
			}
			return nil
		}, nil
	case WorstZoneLost:
		return r.loseWorstZone, nil
	case RackSilent:
		var rack []*simworker.Worker
		return func() error { rack = r.pick(f, number); return setSilent(rack, true) },
			func() error { return setSilent(rack, false) }
	case ZoneCut:
		return func() error { return r.setZoneCut(f.Zone, true) }, func() error { return r.setZoneCut(f.Zone, false) }
	case StateDown:
		return func() error { r.state.SetDown(true); return nil }, func() error { r.state.SetDown(false); return nil }
	}
	return func() error { return fmt.Errorf("a fault of the unknown kind %q", f.Kind) }, nil
}

// restart is when a controller that ends now is started again.
func (r *run) restart() time.Duration {
	return r.now() + config.Seconds(r.scenario.Controllers.RestartS)
}

func (r *run) killLeader() error {
	name, _ := r.leader()
	x := r.controllers.named(name)
	if x == nil {
		return fmt.Errorf("no controller leads at %.0f s", r.now().Seconds())
	}
	r.recorder.leaderEnds(name)
	return r.controllers.kill(x, r.restart())
}

func (r *run) killAll() error {
	name, _ := r.leader()
	r.recorder.leaderEnds(name)
	for _, x := range r.controllers.all {
		if err := r.controllers.kill(x, r.restart()); err != nil {
			return err
		}
	}
	return nil
}

// pick draws the workers of a fault, of its zone if it names one. A rack is a run of neighbours.
func (r *run) pick(f Fault, number uint64) []*simworker.Worker {
	var all []*simworker.Worker
	for _, w := range r.fleet.Workers() {
		if f.Zone == "" || w.Zone() == f.Zone {
			all = append(all, w)
		}
	}
	slices.SortFunc(all, func(a, b *simworker.Worker) int { return cmp.Compare(a.Name(), b.Name()) })
	rnd := rand.New(rand.NewPCG(r.scenario.Seed, number))
	if f.Kind == RackSilent {
		first := rnd.IntN(max(1, len(all)-f.Count+1))
		return all[first:min(len(all), first+f.Count)]
	}
	rnd.Shuffle(len(all), func(i, k int) { all[i], all[k] = all[k], all[i] })
	return all[:min(len(all), f.Count)]
}

// loseWorstZone ends all machines of the zone whose loss takes the most replicas of a model.
func (r *run) loseWorstZone() error {
	zone := r.recorder.spread.worstZone()
	for _, w := range r.fleet.Workers() {
		if w.Zone() == zone {
			w.Die()
		}
	}
	return nil
}

func setSilent(workers []*simworker.Worker, silent bool) error {
	for _, w := range workers {
		w.SetSilent(silent)
	}
	return nil
}

// setZoneCut cuts a zone off from all outside it, or ends that.
func (r *run) setZoneCut(zone string, cut bool) error {
	r.fleet.SetCut(zone, cut)
	r.controllers.setZoneCut(zone, cut)
	for _, x := range r.controllers.all {
		if x.zone == zone {
			r.state.SetCut(x.name, cut)
			r.cloud.SetCut(x.name, cut)
		}
	}
	return nil
}
