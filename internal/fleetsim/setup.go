package fleetsim

import (
	"fmt"
	"os"
	"strings"

	"bitternwing/internal/config"
	"bitternwing/internal/emulator"
	"bitternwing/internal/fleetsim/load"
	"bitternwing/internal/fleetsim/measure"
	"bitternwing/internal/fleetsim/rules"
	"bitternwing/internal/simworker"
)

// setUp starts the emulated services, the workers and the controllers.
func (sim *simulation) setUp() error {
	s := sim.scenario
	params := s.params()
	var teams []string
	for _, team := range params.Teams {
		teams = append(teams, team.Name)
	}
	sim.traffic = measure.NewTraffic()
	sim.ledger = rules.NewLedger(params.Teams, config.Seconds(s.Workers.CancelS), sim.now)
	sim.recorder = newRecorder(sim.ledger, sim.now, newPlacementTracker(sim.now, func(machine string) string { return sim.fleet.ZoneOf(machine) }))
	sim.ownUsage = measure.NewProcess("fleetsim", os.Getpid(), 0)
	sim.controllers = &controllers{binary: sim.options.ControllerBinary, dir: sim.options.Dir, now: sim.now, unexpectedExits: make(chan string, bufferedExitsPerController*s.Controllers.Count)}
	if err := sim.controllers.allocate(s, sim.options.BasePort, sim.traffic); err != nil {
		return err
	}
	if err := sim.setUpServices(); err != nil {
		return err
	}
	addresses, names := sim.controllers.publicAddresses()
	sim.users = load.NewUsers(addresses, sim.ledger, sim.traffic, names)
	if err := sim.setUpRollouts(teams); err != nil {
		return err
	}
	if err := sim.controllers.writeSettings(s, params, sim.rollouts.modelPort()); err != nil {
		return err
	}
	warmUp := config.Seconds(s.WarmUpS)
	sim.generator = load.NewGenerator(s.Seed, s.Classes, teams, s.StartsPerS, warmUp)
	sim.pendingFaults = sim.faultSchedule()
	return sim.controllers.startAll()
}

// bufferedExitsPerController is the capacity of unexpectedExits for each controller, so that reporting an exit does not
// block. The first reported exit ends the simulation.
const bufferedExitsPerController = 16

// setUpServices starts the key-value store, the cloud and the workers of all machine groups.
func (sim *simulation) setUpServices() error {
	s := sim.scenario
	sim.store = emulator.NewStoreServer()
	sim.store.SetRateLimits(s.Store.RPS, s.Store.WriteRPS)
	sim.store.SetLimits(int(s.Store.ValueKB*bytesPerKB), s.Store.TxnOps)
	sim.store.SetObserver(sim.countServiceRequests("state"))
	if err := sim.setUpFleet(); err != nil {
		return err
	}
	sim.cloud = emulator.NewCloud(s.catalog(), sim.fleet.LaunchMachine)
	sim.cloud.SetObserver(sim.countServiceRequests("cloud"))
	sim.cloud.SetRateLimit(s.Cloud.RPS)
	sim.cloud.EnableBootTimes()
	if err := sim.registerControllers(); err != nil {
		return err
	}
	for _, group := range s.Machines {
		sim.cloud.SetCapacity(group.Type, group.Count)
		for i, zone := range s.Zones {
			sim.cloud.AddRunning(group.Type, zone, evenShare(group.Count, len(s.Zones), i))
		}
	}
	return nil
}

const bytesPerKB = 1024

// setUpFleet creates the fleet, still without workers.
func (sim *simulation) setUpFleet() error {
	s := sim.scenario
	var controllers []simworker.Controller
	for _, c := range sim.controllers.list {
		controllers = append(controllers, simworker.Controller{Name: c.name, Zone: c.zone, Addr: c.publicAddress})
	}
	fleet, err := simworker.NewFleet(simworker.Config{
		Seed:              s.Seed,
		HeartbeatInterval: config.Seconds(s.Workers.HeartbeatIntervalS),
		LeaseDuration:     config.Seconds(s.Workers.LeaseS),
		Controllers:       controllers,
		Jobs:              load.Workload{Completions: sim.ledger},
		Observer:          sim.recorder,
		Traffic:           sim.traffic,
	})
	if err != nil {
		return err
	}
	sim.fleet = fleet
	sim.workerTraffic = newWorkerTraffic(fleet)
	return nil
}

// registerControllers adds each controller as a client of the key-value store and the cloud, with addresses of its own.
func (sim *simulation) registerControllers() error {
	var err error
	for _, c := range sim.controllers.list {
		if c.storeAddress, err = sim.store.AddClient(c.name); err != nil {
			return fmt.Errorf("key-value store: %w", err)
		}
		if c.cloudAddress, err = sim.cloud.AddClient(c.name); err != nil {
			return fmt.Errorf("cloud: %w", err)
		}
	}
	return nil
}

// countServiceRequests returns an observer that counts the requests of controllers to a service by method and resource.
func (sim *simulation) countServiceRequests(service string) emulator.RequestObserver {
	return func(client, method, path string, received, sent int) {
		// Traffic counts from the view of the controller: it sends what the service receives.
		sim.traffic.Count(client, simworker.MessageKind(service+" "+method+" "+resourceOf(path)), sent, received)
	}
}

// resourceOf returns the first segment of a path.
func resourceOf(path string) string {
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return "/" + first
}
