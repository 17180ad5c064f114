package core_test

import (
	"fmt"
	"sort"
	"time"

	"bitternwing/internal/core"
	"bitternwing/internal/outcome"
	"bitternwing/internal/wire"
)

type simList struct {
	at   time.Duration
	list []wire.Machine
}

// The cloud.

var simCatalog = wire.Catalog{Types: []wire.MachineType{{Name: "g8", CPUs: 64, GPUs: 8, MemoryGB: 512, CacheGB: 300,
	FetchGBPerS: 4, Price: 16, SpotPrice: 5, BootS: simBoot, Zones: []string{"z1", "z2"}}}}

func (s *sim) addMachine(zone string, spot bool, boot time.Duration) *simWorker {
	w := &simWorker{name: fmt.Sprintf("m%02d", len(s.workers)+1), zone: zone, spot: spot, rentedAt: s.now, session: 1,
		tasks: map[string]*simTask{}, images: map[string]bool{}, node: s.rnd.IntN(3)}
	s.workers = append(s.workers, w)
	s.byName[w.name] = w
	if boot >= 0 {
		s.after(boot, func() {
			if !w.gone {
				w.up, w.answered = true, s.now
				s.work(w)
			}
		})
	}
	return w
}

func (s *sim) takeList() {
	l := simList{at: s.now}
	for _, w := range s.workers {
		m := wire.Machine{Name: w.name, Addr: w.name + ":1", Type: "g8", Zone: w.zone, Spot: w.spot, AgeS: (s.now - w.rentedAt).Seconds(), State: wire.MachineRunning}
		switch {
		case w.gone && (w.stopped == 0 || w.stopped < 0):
			continue
		case w.gone && s.now > w.stopped+15*time.Second:
			m.State = wire.MachineFailed
		case !w.up && !w.gone:
			m.State = wire.MachineBooting
		}
		l.list = append(l.list, m)
	}
	s.lists = append(s.lists, l)
}

func (s *sim) remove(w *simWorker) {
	if w == nil {
		return
	}
	w.stopped = 0
	if w.gone {
		return
	}
	w.gone, w.up = true, false
	s.killTasks(w)
}

func (s *sim) cloud(n *simNode, e core.Effect) {
	reach := func() bool { return s.zoneCut != n.zone }
	there := func(id uint64, do func() core.Result) {
		if s.now >= s.cloudOut && s.rnd.IntN(100) == 0 {
			// Carried out late, without an answer.
			s.after(s.between(2*time.Second, 8*time.Second), func() { do() })
			life := n.life
			s.after(4*simPatience, func() {
				if n.life == life {
					s.step(n, core.Result{CallID: id, Outcome: outcome.Unknown})
				}
			})
			return
		}
		s.call(n, id, 4*simPatience, reach, false, func() (core.Result, bool) {
			if s.now < s.cloudOut {
				return core.Result{Outcome: outcome.Unavailable}, true
			}
			return do(), true
		})
	}
	switch e := e.(type) {
	case core.CloudCatalog:
		there(e.CallID, func() core.Result { return core.Result{Outcome: outcome.OK, Catalog: simCatalog} })
	case core.CloudScaleOut:
		there(e.CallID, func() core.Result {
			q := e.Request
			names, was := s.rented[q.RequestID]
			if !was {
				left := s.perZone
				for _, w := range s.workers {
					if !w.gone && w.zone == q.Zone {
						left--
					}
				}
				for i := 0; i < min(q.Count, left); i++ {
					boot := time.Duration(simBoot * (0.6 + 0.9*s.rnd.Float64()) * float64(time.Second))
					if s.bootFactor > 0 {
						boot = time.Duration(float64(boot) * s.bootFactor)
					}
					if s.rnd.IntN(25) == 0 || s.rnd.Float64() < s.bootFail {
						boot = -1 // it never comes up
					}
					names = append(names, s.addMachine(q.Zone, q.Spot, boot).name)
				}
				if len(names) == 0 {
					return core.Result{Outcome: outcome.Unavailable}
				}
				s.rented[q.RequestID] = names
				s.say("%s rents %d in %s", n.name, len(names), q.Zone)
			}
			return core.Result{Outcome: outcome.OK, MachineNames: append([]string(nil), names...)}
		})
	case core.CloudScaleIn:
		there(e.CallID, func() core.Result {
			for _, name := range e.Names {
				if w := s.byName[name]; w != nil && !w.gone {
					s.say("%s releases %s", n.name, name)
				}
				s.remove(s.byName[name])
			}
			return core.Result{Outcome: outcome.OK}
		})
	case core.CloudList:
		there(e.CallID, func() core.Result {
			seen := s.now - time.Duration(s.set.Cloud.ListLagS*(0.5+1.5*s.rnd.Float64())*float64(time.Second))
			i := sort.Search(len(s.lists), func(i int) bool { return s.lists[i].at > seen })
			r := core.Result{Outcome: outcome.OK}
			if i > 0 {
				r.Machines.Machines = append(r.Machines.Machines, s.lists[i-1].list...)
			}
			return r
		})
	}
}
