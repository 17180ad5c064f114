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

// cloudPatience is after how long a node gives a call to the cloud up.
const cloudPatience = 4 * simPatience

// cloud carries out a node's call to the cloud.
func (s *sim) cloud(n *simNode, e core.Effect) {
	switch e := e.(type) {
	case core.CloudCatalog:
		s.cloudCall(n, e.CallID, func() core.Result { return core.Result{Outcome: outcome.OK, Catalog: simCatalog} })
	case core.CloudScaleOut:
		s.cloudCall(n, e.CallID, func() core.Result { return s.scaleOut(n, e.Request) })
	case core.CloudScaleIn:
		s.cloudCall(n, e.CallID, func() core.Result { return s.scaleIn(n, e.Names) })
	case core.CloudList:
		s.cloudCall(n, e.CallID, s.listMachines)
	}
}

// cloudCall makes a call to the cloud. One in a hundred is carried out late, without an answer.
func (s *sim) cloudCall(n *simNode, id uint64, do func() core.Result) {
	if s.now >= s.cloudOut && s.rnd.IntN(100) == 0 {
		s.after(s.between(2*time.Second, 8*time.Second), func() { do() })
		life := n.life
		s.after(cloudPatience, func() {
			if n.life == life {
				s.step(n, core.Result{CallID: id, Outcome: outcome.Unknown})
			}
		})
		return
	}
	reach := func() bool { return s.zoneCut != n.zone }
	s.call(n, id, cloudPatience, reach, false, func() (core.Result, bool) {
		if s.now < s.cloudOut {
			return core.Result{Outcome: outcome.Unavailable}, true
		}
		return do(), true
	})
}

// scaleOut rents machines, as many as the zone has left. A repeated request gets the machines of the first one.
func (s *sim) scaleOut(n *simNode, request wire.ScaleOutRequest) core.Result {
	names, repeated := s.rented[request.RequestID]
	if !repeated {
		for range min(request.Count, s.freeMachines(request.Zone)) {
			names = append(names, s.addMachine(request.Zone, request.Spot, s.bootTime()).name)
		}
		if len(names) == 0 {
			return core.Result{Outcome: outcome.Unavailable}
		}
		s.rented[request.RequestID] = names
		s.say("%s rents %d in %s", n.name, len(names), request.Zone)
	}
	return core.Result{Outcome: outcome.OK, MachineNames: append([]string(nil), names...)}
}

// freeMachines gives how many more machines the cloud has in a zone.
func (s *sim) freeMachines(zone string) int {
	free := s.perZone
	for _, worker := range s.workers {
		if !worker.gone && worker.zone == zone {
			free--
		}
	}
	return free
}

// bootTime gives how long a new machine takes to come up; negative if it never does.
func (s *sim) bootTime() time.Duration {
	boot := time.Duration(simBoot * (0.6 + 0.9*s.rnd.Float64()) * float64(time.Second))
	if s.bootFactor > 0 {
		boot = time.Duration(float64(boot) * s.bootFactor)
	}
	if s.rnd.IntN(25) == 0 || s.rnd.Float64() < s.bootFail {
		return -1
	}
	return boot
}

// scaleIn gives machines back.
func (s *sim) scaleIn(n *simNode, names []string) core.Result {
	for _, name := range names {
		worker := s.byName[name]
		if worker != nil && !worker.gone {
			s.say("%s releases %s", n.name, name)
		}
		s.remove(worker)
	}
	return core.Result{Outcome: outcome.OK}
}

// listMachines gives the list of machines as it was some time ago: the cloud's lists lag.
func (s *sim) listMachines() core.Result {
	seen := s.now - time.Duration(s.set.Cloud.ListLagS*(0.5+1.5*s.rnd.Float64())*float64(time.Second))
	newer := sort.Search(len(s.lists), func(i int) bool { return s.lists[i].at > seen })
	result := core.Result{Outcome: outcome.OK}
	if newer > 0 {
		result.Machines.Machines = append(result.Machines.Machines, s.lists[newer-1].list...)
	}
	return result
}
