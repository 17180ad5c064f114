package fleetsim

import (
	"fmt"
	"time"
)

// tick is how often the simulation does what is due.
const tick = time.Second

// everySecond does what is due each second: faults, checks, samples.
func (sim *simulation) everySecond() error {
	if err := sim.injectDueFaults(); err != nil {
		return err
	}
	if err := sim.controllers.restartDue(); err != nil {
		return err
	}
	sim.ledger.CheckCancelled()
	atS := sim.now().Seconds()
	sim.controllers.sample(atS)
	if err := sim.self.Sample(atS); err != nil {
		return err
	}
	sim.workers.sample(atS)
	sim.recorder.placements.sample()
	sim.recordSecond(atS)
	used := sim.controllers.residentMB() + sim.self.LastMemoryMB()
	if used > sim.memoryMB {
		return fmt.Errorf("memory: %.0f MB are used, half of this machine's is %.0f MB", used, sim.memoryMB)
	}
	return nil
}

// recordSecond keeps the counts of the last second.
func (sim *simulation) recordSecond(atS float64) {
	now := sim.recorder.totals()
	leader, reporting := sim.leader()
	second := Second{
		AtS:        atS,
		Requested:  sim.generator.Tasks() - sim.requestedTasks,
		Started:    now.started - sim.lastTotals.started,
		Completed:  now.completed - sim.lastTotals.completed,
		OnMachine:  now.onMachine,
		Leader:     leader,
		Reporting:  reporting,
		Violations: len(sim.ledger.Violations()),
	}
	sim.requestedTasks = sim.generator.Tasks()
	sim.lastTotals = now
	sim.seconds = append(sim.seconds, second)
	if sim.options.Progress != nil {
		sim.options.Progress(second)
	}
}

// leader gives the controller whose responses the most workers accepted last, and how many these are.
func (sim *simulation) leader() (name string, workers int) {
	for controller, count := range sim.fleet.WorkersByController() {
		if count > workers || count == workers && controller < name {
			name, workers = controller, count
		}
	}
	return name, workers
}
