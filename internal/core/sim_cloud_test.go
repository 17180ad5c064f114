package core_test

import (
	"fmt"
	"sort"
	"time"

	"bitternwing/internal/core"
	"bitternwing/internal/outcome"
	"bitternwing/internal/wire"
)

// machineList is a snapshot of the cloud's list of machines.
type machineList struct {
	at       time.Duration
	machines []wire.Machine
}

// simulatedCatalog is the cloud's catalog of machine types.
var simulatedCatalog = wire.Catalog{Types: []wire.MachineType{{Name: "g8", CPUs: 64, GPUs: 8, MemoryGB: 512, CacheGB: 300,
	FetchGBPerS: 4, Price: 16, SpotPrice: 5, BootS: bootSeconds, Zones: []string{"z1", "z2"}}}}

// addMachine adds a machine whose worker comes up after bootTime; negative: never.
func (s *simulation) addMachine(zone string, spot bool, bootTime time.Duration) *simulatedWorker {
	worker := &simulatedWorker{name: fmt.Sprintf("m%02d", len(s.workers)+1), zone: zone, spot: spot, rentedAt: s.now, incarnation: 1,
		tasks: map[string]*simulatedTask{}, images: map[string]bool{}, nodeIndex: s.random.IntN(3)}
	s.workers = append(s.workers, worker)
	s.workerByName[worker.name] = worker
	if bootTime >= 0 {
		s.after(bootTime, func() {
			if !worker.gone {
				worker.up, worker.leaseRenewedAt = true, s.now
				s.runWorker(worker)
			}
		})
	}
	return worker
}

// snapshotMachineList stores a snapshot of the current list of machines. Nodes receive older snapshots: see
// listMachines.
func (s *simulation) snapshotMachineList() {
	list := machineList{at: s.now}
	for _, worker := range s.workers {
		machine := wire.Machine{Name: worker.name, Addr: worker.name + ":1", Type: "g8", Zone: worker.zone, Spot: worker.spot, AgeS: (s.now - worker.rentedAt).Seconds(), State: wire.MachineRunning}
		switch {
		case s.now < worker.unlistedUntil:
			continue
		case worker.gone && (worker.stoppedAt == 0 || worker.stoppedAt < 0):
			continue
		case worker.gone && s.now > worker.stoppedAt+15*time.Second:
			machine.State = wire.MachineFailed
		case !worker.up && !worker.gone:
			machine.State = wire.MachineBooting
		}
		list.machines = append(list.machines, machine)
	}
	s.machineLists = append(s.machineLists, list)
}

// removeMachine ends a machine and its tasks and removes it from the cloud's list.
func (s *simulation) removeMachine(worker *simulatedWorker) {
	if worker == nil {
		return
	}
	worker.stoppedAt = 0
	if worker.gone {
		return
	}
	worker.gone, worker.up = true, false
	s.killTasks(worker)
}

// cloudTimeout is the timeout of a node's calls to the cloud.
const cloudTimeout = 4 * callTimeout

// handleCloudCall performs a node's call to the cloud.
func (s *simulation) handleCloudCall(node *simulatedNode, effect core.Effect) {
	switch e := effect.(type) {
	case core.CloudCatalog:
		s.callCloud(node, e.CallID, func() core.Result { return core.Result{Outcome: outcome.OK, Catalog: simulatedCatalog} })
	case core.CloudScaleOut:
		s.callCloud(node, e.CallID, func() core.Result { return s.scaleOut(node, e.Request) })
	case core.CloudScaleIn:
		s.callCloud(node, e.CallID, func() core.Result { return s.scaleIn(node, e.Names) })
	case core.CloudList:
		s.callCloud(node, e.CallID, s.listMachines)
	}
}

// callCloud makes a call to the cloud. One in 100 takes effect late, without a response.
func (s *simulation) callCloud(node *simulatedNode, id uint64, handle func() core.Result) {
	if s.now >= s.cloudOutageUntil && s.random.IntN(100) == 0 {
		s.after(s.between(2*time.Second, 8*time.Second), func() { handle() })
		incarnation := node.incarnation
		s.after(cloudTimeout, func() {
			if node.incarnation == incarnation {
				s.deliverInput(node, core.Result{CallID: id, Outcome: outcome.Unknown})
			}
		})
		return
	}
	reachable := func() bool { return s.isolatedZone != node.zone }
	s.call(node, id, cloudTimeout, reachable, false, func() (core.Result, bool) {
		if s.now < s.cloudOutageUntil {
			return core.Result{Outcome: outcome.Unavailable}, true
		}
		return handle(), true
	})
}

// scaleOut rents the requested number of machines, or as many as the zone has left. It is idempotent by request ID.
func (s *simulation) scaleOut(node *simulatedNode, request wire.ScaleOutRequest) core.Result {
	names, repeated := s.rentedByRequest[request.RequestID]
	if !repeated {
		for range min(request.Count, s.availableMachines(request.Zone)) {
			names = append(names, s.addMachine(request.Zone, request.Spot, s.bootTime()).name)
		}
		if len(names) == 0 {
			return core.Result{Outcome: outcome.Unavailable}
		}
		s.rentedByRequest[request.RequestID] = names
		s.tracef("%s scales out by %d in %s", node.name, len(names), request.Zone)
	}
	return core.Result{Outcome: outcome.OK, MachineNames: append([]string(nil), names...)}
}

// availableMachines returns how many more machines the cloud can provide in a zone.
func (s *simulation) availableMachines(zone string) int {
	available := s.machinesPerZone
	for _, worker := range s.workers {
		if !worker.gone && worker.zone == zone {
			available--
		}
	}
	return available
}

// bootTime returns a random boot time for a new machine; negative: it never boots.
func (s *simulation) bootTime() time.Duration {
	boot := time.Duration(bootSeconds * (0.6 + 0.9*s.random.Float64()) * float64(time.Second))
	if s.bootFactor > 0 {
		boot = time.Duration(float64(boot) * s.bootFactor)
	}
	if s.random.IntN(25) == 0 || s.random.Float64() < s.bootFailureShare {
		return -1
	}
	return boot
}

// scaleIn releases machines.
func (s *simulation) scaleIn(node *simulatedNode, names []string) core.Result {
	if s.now < s.releasesRefusedUntil {
		return core.Result{Outcome: outcome.Unavailable}
	}
	for _, name := range names {
		worker := s.workerByName[name]
		if worker != nil && !worker.gone {
			s.tracef("%s releases %s", node.name, name)
		}
		s.removeMachine(worker)
	}
	return core.Result{Outcome: outcome.OK}
}

// listMachines returns the list of machines as it was 0.5 to 2 times the list lag ago.
func (s *simulation) listMachines() core.Result {
	asOf := s.now - time.Duration(s.params.Cloud.ListLagS*(0.5+1.5*s.random.Float64())*float64(time.Second))
	newer := sort.Search(len(s.machineLists), func(i int) bool { return s.machineLists[i].at > asOf })
	result := core.Result{Outcome: outcome.OK}
	if newer > 0 {
		result.Machines.Machines = append(result.Machines.Machines, s.machineLists[newer-1].machines...)
	}
	return result
}
