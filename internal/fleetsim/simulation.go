package fleetsim

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"bitternwing/internal/config"
	"bitternwing/internal/emulator"
	"bitternwing/internal/fleetsim/load"
	"bitternwing/internal/fleetsim/measure"
	"bitternwing/internal/fleetsim/rules"
	"bitternwing/internal/simworker"
)

// Options holds the settings of a simulation that are not part of its scenario.
type Options struct {
	ControllerBinary string
	Dir              string // for the settings and logs of the controllers
	BasePort         int    // first port of the controllers; 0 for any free ports
	MaxProcesses     int
	Progress         func(Second) // called once a second; may be nil
}

// memoryMBPerWorker is the estimated memory of this process for each simulated worker, baseMemoryMB for everything
// else.
const (
	memoryMBPerWorker = 0.1
	baseMemoryMB      = 400
)

// ErrRuleBroken is returned if a rule of the protocol was violated.
var ErrRuleBroken = errors.New("protocol rule violated")

// ErrPromiseBroken is returned if a rollout served less than its promised capacity, lost or mismatched responses, or
// did not end in the expected phase.
var ErrPromiseBroken = errors.New("rollout did not keep its promise")

// simulation is the state of a running simulation.
type simulation struct {
	scenario      *Scenario
	options       Options
	startedAt     time.Time
	memoryLimitMB float64 // limit for the memory of all processes

	traffic       *measure.Traffic
	ledger        *rules.Ledger
	recorder      *recorder
	store         *emulator.StoreServer
	cloud         *emulator.Cloud
	fleet         *simworker.Fleet
	controllers   *controllers
	users         *load.Users
	generator     *load.Generator
	workerTraffic *workerTraffic
	ownUsage      *measure.Process
	rollouts      *rollouts

	pendingFaults  []scheduledAction
	requestedTasks int64
	seconds        []Second
	lastTotals     totals
}

// Run simulates a scenario. Once the simulation has begun, it returns a result also with an error.
func Run(ctx context.Context, scenario *Scenario, options Options) (*Result, error) {
	sim := &simulation{scenario: scenario, options: options, startedAt: time.Now()}
	if err := sim.checkResources(); err != nil {
		return nil, err
	}
	defer sim.close()
	if err := sim.setUp(); err != nil {
		return nil, err
	}
	err := sim.execute(ctx)
	sim.stopControllers()
	result := sim.result(err)
	if err == nil && result.BrokenRollout != "" {
		err = fmt.Errorf("%w: %s", ErrPromiseBroken, result.BrokenRollout)
	}
	if len(result.Violations) > 0 && (err == nil || errors.Is(err, ErrPromiseBroken)) {
		err = fmt.Errorf("%w: %s: %s", ErrRuleBroken, result.Violations[0].Rule, result.Violations[0].Message)
	}
	return result, err
}

// checkResources returns an error if the controller binary does not exist, or if the simulation would need too many
// processes or more than half of the machine's memory.
func (sim *simulation) checkResources() error {
	controllers := sim.scenario.Controllers
	if _, err := os.Stat(sim.options.ControllerBinary); err != nil {
		return fmt.Errorf("binary: %w", err)
	}
	if processes := controllers.Count + 1; processes > sim.options.MaxProcesses {
		return fmt.Errorf("controllers: %d processes needed, at most %d allowed", processes, sim.options.MaxProcesses)
	}
	halfMB, err := measure.HalfOfMemoryMB()
	if err != nil {
		return fmt.Errorf("memory: %w", err)
	}
	sim.memoryLimitMB = halfMB
	neededMB := baseMemoryMB + memoryMBPerWorker*float64(sim.scenario.workerCount()) + controllers.MemoryMB*float64(controllers.Count)
	if neededMB > halfMB {
		return fmt.Errorf("memory: up to %.0f MB needed, limit is half of the machine's memory, %.0f MB", neededMB, halfMB)
	}
	return nil
}

// now returns the time since the start of the simulation.
func (sim *simulation) now() time.Duration { return time.Since(sim.startedAt) }

// execute runs the scenario until its duration is over or an error ends it, and waits for the users and rollouts.
func (sim *simulation) execute(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, config.Seconds(sim.scenario.DurationS))
	submissionsDone := make(chan struct{})
	go func() {
		defer close(submissionsDone)
		sim.submitJobs(ctx)
	}()
	rolloutsDone := sim.rollouts.start(ctx)
	err := sim.runTicks(ctx)
	cancel()
	<-submissionsDone
	rolloutsDone.Wait()
	sim.users.Wait()
	return err
}

// errInterrupted is returned if the context ends before the simulation has reached its duration.
var errInterrupted = errors.New("interrupted")

// runTicks calls runTick once a second until the duration is over, the context is cancelled, a controller exits
// unexpectedly, or runTick returns an error.
func (sim *simulation) runTicks(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				return nil
			}
			return errInterrupted
		case name := <-sim.controllers.unexpectedExits:
			return fmt.Errorf("%s exited unexpectedly, see %s", name, filepath.Join(sim.options.Dir, name+".log"))
		case <-ticker.C:
			if err := sim.runTick(); err != nil {
				return err
			}
		}
	}
}

// submitInterval is the interval at which due jobs are submitted.
const submitInterval = 20 * time.Millisecond

// submitJobs submits the initial jobs after the warm-up, and then the others as they arrive, until the context ends.
func (sim *simulation) submitJobs(ctx context.Context) {
	warmUp := config.Seconds(sim.scenario.WarmUpS)
	ticker := time.NewTicker(submitInterval)
	defer ticker.Stop()
	started := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if sim.now() < warmUp {
			continue
		}
		due := sim.generator.ArrivalsUntil(sim.now())
		if !started {
			due = append(sim.generator.InitialArrivals(sim.now()), due...)
			started = true
		}
		for _, arrival := range due {
			sim.recorder.recordSubmission(arrival)
			sim.users.StartUser(ctx, arrival)
		}
	}
}

// stopControllers kills the controllers.
func (sim *simulation) stopControllers() {
	if sim.controllers != nil {
		_ = sim.controllers.close() // best effort at the end of the simulation
	}
}

// close stops everything that the simulation has started.
func (sim *simulation) close() {
	sim.stopControllers()
	if sim.cloud != nil {
		sim.cloud.Close()
	}
	sim.rollouts.close()
	if sim.fleet != nil {
		sim.fleet.Close()
	}
	if sim.store != nil {
		sim.store.Close()
	}
}
