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

// Options say where and with which programs a scenario is simulated.
type Options struct {
	Binary       string // of the controllers
	Dir          string // for settings, logs and results
	BasePort     int    // of the controllers; 0: any free ones
	MaxProcesses int
	Progress     func(Second) // called each second
}

// workerMB is the memory of this process for a simulated worker, baseMB that for all else.
const (
	workerMB = 0.1
	baseMB   = 400
)

// ErrRuleBroken is returned if a rule of the protocol was broken.
var ErrRuleBroken = errors.New("a rule was broken")

// ErrPromiseBroken is returned if a rollout did not keep its promised capacity.
var ErrPromiseBroken = errors.New("a rollout did not keep its promise")

// simulation is a scenario while it is simulated.
type simulation struct {
	scenario  *Scenario
	options   Options
	startedAt time.Time
	memoryMB  float64 // that all processes may use

	traffic     *measure.Traffic
	ledger      *rules.Ledger
	recorder    *recorder
	store       *emulator.StoreServer
	cloud       *emulator.Cloud
	fleet       *simworker.Fleet
	controllers *controllers
	users       *load.Users
	generator   *load.Generator
	workers     *workerTraffic
	self        *measure.Process
	rollouts    *rollouts

	faults         []scheduledAction
	requestedTasks int64
	seconds        []Second
	lastTotals     totals
}

// Run simulates a scenario. There is a result whenever the simulation began, also with an error.
func Run(ctx context.Context, scenario *Scenario, options Options) (*Result, error) {
	r := &simulation{scenario: scenario, options: options, startedAt: time.Now()}
	if err := r.checkResources(); err != nil {
		return nil, err
	}
	defer r.close()
	if err := r.setUp(); err != nil {
		return nil, err
	}
	err := r.execute(ctx)
	r.stopControllers()
	result := r.result(err)
	if err == nil && result.BrokenRollout != "" {
		err = fmt.Errorf("%w: %s", ErrPromiseBroken, result.BrokenRollout)
	}
	if len(result.Violations) > 0 && (err == nil || errors.Is(err, ErrPromiseBroken)) {
		err = fmt.Errorf("%w: %s: %s", ErrRuleBroken, result.Violations[0].Rule, result.Violations[0].Message)
	}
	return result, err
}

// checkResources refuses a simulation that takes more than the machine has.
func (sim *simulation) checkResources() error {
	controllers := sim.scenario.Controllers
	if _, err := os.Stat(sim.options.Binary); err != nil {
		return fmt.Errorf("binary: %w", err)
	}
	if processes := controllers.Count + 1; processes > sim.options.MaxProcesses {
		return fmt.Errorf("controllers: %d processes, %d at most", processes, sim.options.MaxProcesses)
	}
	half, err := measure.HalfOfMemoryMB()
	if err != nil {
		return fmt.Errorf("memory: %w", err)
	}
	sim.memoryMB = half
	needed := baseMB + workerMB*float64(sim.scenario.workers()) + controllers.MemoryMB*float64(controllers.Count)
	if needed > half {
		return fmt.Errorf("memory: up to %.0f MB, half of this machine's is %.0f MB", needed, half)
	}
	return nil
}

// now is the time since the start.
func (sim *simulation) now() time.Duration { return time.Since(sim.startedAt) }

// execute runs the scenario to its end.
func (sim *simulation) execute(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, config.Seconds(sim.scenario.DurationS))
	submitted := make(chan struct{})
	go func() {
		defer close(submitted)
		sim.submitAll(ctx)
	}()
	rolled := sim.rollouts.start(ctx)
	err := sim.untilEnd(ctx)
	cancel()
	<-submitted
	rolled.Wait()
	sim.users.Wait()
	return err
}

// errInterrupted is returned if the context ended before the scenario did.
var errInterrupted = errors.New("interrupted")

// untilEnd does what is due each second until the time is over or something ends the simulation.
func (sim *simulation) untilEnd(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				return nil
			}
			return errInterrupted
		case name := <-sim.controllers.unexpectedExits:
			return fmt.Errorf("%s ended by itself, see %s", name, filepath.Join(sim.options.Dir, name+".log"))
		case <-ticker.C:
			if err := sim.everySecond(); err != nil {
				return err
			}
		}
	}
}

// submitStep is how often jobs are submitted that are due.
const submitStep = 20 * time.Millisecond

// submitAll submits the jobs as they come.
func (sim *simulation) submitAll(ctx context.Context) {
	warmUp := config.Seconds(sim.scenario.WarmUpS)
	ticker := time.NewTicker(submitStep)
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
		due := sim.generator.Until(sim.now())
		if !started {
			due = append(sim.generator.AtStart(sim.now()), due...)
			started = true
		}
		for _, arrival := range due {
			sim.recorder.submit(arrival)
			sim.users.Start(ctx, arrival)
		}
	}
}

// stopControllers ends the controllers.
func (sim *simulation) stopControllers() {
	if sim.controllers != nil {
		_ = sim.controllers.close() // what has ended has ended
	}
}

// close ends all that the simulation has started.
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
