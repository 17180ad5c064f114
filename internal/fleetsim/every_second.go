package fleetsim

import (
	"fmt"
	"time"
)

// tickInterval is the interval between calls of runTick.
const tickInterval = time.Second

// runTick injects due faults, restarts controllers, checks the rules and takes samples. It is called once a second. It
// returns an error if the processes exceed the memory limit.
func (sim *simulation) runTick() error {
	if err := sim.injectDueFaults(); err != nil {
		return err
	}
	if err := sim.controllers.restartDueControllers(); err != nil {
		return err
	}
	sim.ledger.CheckCancelled()
	atS := sim.now().Seconds()
	sim.controllers.sample(atS)
	if err := sim.ownUsage.Sample(atS); err != nil {
		return err
	}
	sim.workerTraffic.sample(atS)
	sim.recorder.placements.sample()
	sim.recordSecond(atS)
	usedMB := sim.controllers.residentMB() + sim.ownUsage.LastMemoryMB()
	if usedMB > sim.memoryLimitMB {
		return fmt.Errorf("memory: %.0f MB used, limit is half of the machine's memory, %.0f MB", usedMB, sim.memoryLimitMB)
	}
	return nil
}

// recordSecond records the counts of the last second, and reports them to Options.Progress.
func (sim *simulation) recordSecond(atS float64) {
	current := sim.recorder.totals()
	leader, reporting := sim.leader()
	second := Second{
		AtS:        atS,
		Requested:  sim.generator.TaskCount() - sim.requestedTasks,
		Started:    current.started - sim.lastTotals.started,
		Completed:  current.completed - sim.lastTotals.completed,
		OnMachine:  current.onMachine,
		Leader:     leader,
		Reporting:  reporting,
		Violations: len(sim.ledger.Violations()),
	}
	sim.requestedTasks = sim.generator.TaskCount()
	sim.lastTotals = current
	sim.seconds = append(sim.seconds, second)
	if sim.options.Progress != nil {
		sim.options.Progress(second)
	}
}

// leader returns the controller from which the most workers accepted their last response, and the number of these
// workers.
func (sim *simulation) leader() (name string, workers int) {
	for controller, count := range sim.fleet.WorkersByController() {
		if count > workers || count == workers && controller < name {
			name, workers = controller, count
		}
	}
	return name, workers
}
