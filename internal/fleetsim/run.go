// Package fleetsim plays a large fleet on one machine: real controller processes, and stand-ins of the
// state service, the cloud, the users and the workers, of which thousands share this process. It checks
// the protocol's rules as the workers and users see them, and measures what each process uses.
//
// All traffic stays on the loopback interface. What the hollow workers leave out is said in package hollow.
// The state service and the cloud answer at once and keep their limits; a zone that is cut off loses them
// both, as if they were outside it.
package fleetsim

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"bitternwing/internal/config"
	"bitternwing/internal/emulator"
	"bitternwing/internal/fleetsim/load"
	"bitternwing/internal/fleetsim/measure"
	"bitternwing/internal/fleetsim/rules"
	"bitternwing/internal/simworker"
)

// Options say where and with what a scenario is played.
type Options struct {
	Binary       string // of the controllers
	Dir          string // for settings, logs and results
	BasePort     int    // of the controllers; 0: any free ones
	MaxProcesses int
	Progress     func(Second) // called each second
}

// workerMB is what a hollow worker is taken to need of this process, baseMB what all else needs.
const (
	workerMB = 0.1
	baseMB   = 400
)

// tick is how often the run looks at what is due.
const tick = time.Second

// ErrRuleBroken says that the run ended with a broken rule.
var ErrRuleBroken = errors.New("a rule was broken")

// ErrPromiseBroken says that a rollout did not keep what it promises.
var ErrPromiseBroken = errors.New("a rollout did not keep its promise")

// simulation is a scale run while it lasts.
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

// Run plays a scenario. The result is there whenever it could be begun, also with an error.
func Run(ctx context.Context, s *Scenario, o Options) (*Result, error) {
	r := &simulation{scenario: s, options: o, startedAt: time.Now()}
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

// checkResources refuses a run that the machine can't bear.
func (r *simulation) checkResources() error {
	s, o := r.scenario, r.options
	if _, err := os.Stat(o.Binary); err != nil {
		return fmt.Errorf("binary: %w", err)
	}
	if n := s.Controllers.Count + 1; n > o.MaxProcesses {
		return fmt.Errorf("controllers: %d processes, %d at most", n, o.MaxProcesses)
	}
	half, err := measure.HalfOfMemoryMB()
	if err != nil {
		return fmt.Errorf("memory: %w", err)
	}
	r.memoryMB = half
	need := baseMB + workerMB*float64(s.workers()) + s.Controllers.MemoryMB*float64(s.Controllers.Count)
	if need > half {
		return fmt.Errorf("memory: up to %.0f MB, half of this machine's is %.0f MB", need, half)
	}
	return nil
}

func (r *simulation) now() time.Duration { return time.Since(r.startedAt) }

// setUp starts the stand-ins, the workers and the controllers.
func (r *simulation) setUp() error {
	s := r.scenario
	params := s.params()
	var teams []string
	for _, t := range params.Teams {
		teams = append(teams, t.Name)
	}
	r.traffic = measure.NewTraffic()
	r.ledger = rules.NewLedger(params.Teams, config.Seconds(s.Workers.CancelS), r.now)
	r.recorder = newRecorder(r.ledger, r.now, newPlacementTracker(r.now, func(machine string) string { return r.fleet.ZoneOf(machine) }))
	r.self = measure.NewProcess("fleetsim", os.Getpid(), 0)
	r.controllers = &controllers{binary: r.options.Binary, dir: r.options.Dir, now: r.now, unexpectedExits: make(chan string, 16*s.Controllers.Count)}
	if err := r.controllers.plan(s, r.options.BasePort, r.traffic); err != nil {
		return err
	}
	if err := r.setUpServices(); err != nil {
		return err
	}
	addresses, names := r.controllers.addresses()
	r.users = load.NewUsers(addresses, r.ledger, r.traffic, names)
	if err := r.setUpRollouts(teams); err != nil {
		return err
	}
	if err := r.controllers.writeSettings(s, params, r.rollouts.modelPort()); err != nil {
		return err
	}
	warmUp := config.Seconds(s.WarmUpS)
	r.generator = load.NewGenerator(s.Seed, s.Classes, teams, s.StartsPerS, warmUp)
	r.faults = r.schedule()
	return r.controllers.startAll()
}

// setUpServices starts the state service, the cloud and the workers.
func (r *simulation) setUpServices() error {
	s := r.scenario
	r.store = emulator.NewStoreServer()
	r.store.SetRateLimits(s.Store.RPS, s.Store.WriteRPS)
	r.store.SetLimits(int(s.Store.ValueKB*1024), s.Store.TxnOps)
	r.store.SetObserver(r.countService("state"))
	var workersControllers []simworker.Controller
	for _, x := range r.controllers.list {
		workersControllers = append(workersControllers, simworker.Controller{Name: x.name, Zone: x.zone, Addr: x.publicAddress})
	}
	fleet, err := simworker.NewFleet(simworker.Config{Seed: s.Seed, HeartbeatInterval: config.Seconds(s.Workers.HeartbeatIntervalS), LeaseDuration: config.Seconds(s.Workers.LeaseS),
		Controllers: workersControllers, Jobs: load.Uploads{Completions: r.ledger}, Observer: r.recorder, Traffic: r.traffic})
	if err != nil {
		return err
	}
	r.fleet = fleet
	r.workers = newWorkerTraffic(fleet)
	r.cloud = emulator.NewCloud(s.catalog(), fleet.LaunchMachine)
	r.cloud.SetObserver(r.countService("cloud"))
	r.cloud.SetRateLimit(s.Cloud.RPS)
	r.cloud.EnableBootTimes()
	for _, x := range r.controllers.list {
		if x.storeAddress, err = r.store.AddClient(x.name); err != nil {
			return err
		}
		if x.cloudAddress, err = r.cloud.AddClient(x.name); err != nil {
			return err
		}
	}
	for _, g := range s.Machines {
		r.cloud.SetCapacity(g.Type, g.Count)
		for i, zone := range s.Zones {
			r.cloud.AddRunning(g.Type, zone, evenShare(g.Count, len(s.Zones), i))
		}
	}
	return nil
}

// countService counts the requests of controllers to a service, by what they ask for.
func (r *simulation) countService(service string) emulator.RequestObserver {
	return func(client, method, path string, received, sent int) {
		// What a controller sends the service receives.
		r.traffic.Count(client, simworker.MessageKind(service+" "+method+" "+resourceOf(path)), sent, received)
	}
}

// resourceOf gives the first part of a path.
func resourceOf(path string) string {
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return "/" + first
}

// execute lets the time of the scenario pass.
func (r *simulation) execute(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, config.Seconds(r.scenario.DurationS))
	submitted := make(chan struct{})
	go func() {
		defer close(submitted)
		r.submitAll(ctx)
	}()
	rolled := r.rollouts.start(ctx)
	err := r.untilEnd(ctx)
	cancel()
	<-submitted
	rolled.Wait()
	r.users.Wait()
	return err
}

// untilEnd does what is due each second until the time is over or something ends the run.
func (r *simulation) untilEnd(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				return nil
			}
			return errors.New("interrupted")
		case name := <-r.controllers.unexpectedExits:
			return fmt.Errorf("%s ended by itself, see %s", name, filepath.Join(r.options.Dir, name+".log"))
		case <-ticker.C:
			if err := r.everySecond(); err != nil {
				return err
			}
		}
	}
}

// submitStep is how often jobs are submitted that are due.
const submitStep = 20 * time.Millisecond

// submitAll submits the jobs as they come.
func (r *simulation) submitAll(ctx context.Context) {
	warmUp := config.Seconds(r.scenario.WarmUpS)
	ticker := time.NewTicker(submitStep)
	defer ticker.Stop()
	started := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if r.now() < warmUp {
			continue
		}
		due := r.generator.Until(r.now())
		if !started {
			due = append(r.generator.AtStart(r.now()), due...)
			started = true
		}
		for _, a := range due {
			r.recorder.submit(a)
			r.users.Start(ctx, a)
		}
	}
}

// everySecond does what is due each second: faults, checks, samples.
func (r *simulation) everySecond() error {
	if err := r.injectDueFaults(); err != nil {
		return err
	}
	if err := r.controllers.restartDue(); err != nil {
		return err
	}
	r.ledger.CheckCancelled()
	at := r.now().Seconds()
	r.controllers.sample(at)
	if err := r.self.Sample(at); err != nil {
		return err
	}
	r.workers.sample(at)
	r.recorder.placements.sample()
	r.recordSecond(at)
	used := r.controllers.residentMB() + r.self.Samples[len(r.self.Samples)-1].MemoryMB
	if used > r.memoryMB {
		return fmt.Errorf("memory: %.0f MB are used, half of this machine's is %.0f MB", used, r.memoryMB)
	}
	return nil
}

// recordSecond keeps the counts of the last second.
func (r *simulation) recordSecond(at float64) {
	now := r.recorder.totals()
	leader, reporting := r.leader()
	second := Second{AtS: at, Started: now.started - r.lastTotals.started, Completed: now.completed - r.lastTotals.completed, OnMachine: now.onMachine,
		Requested: r.generator.Tasks() - r.requestedTasks, Leader: leader, Reporting: reporting, Violations: len(r.ledger.Violations())}
	r.requestedTasks = r.generator.Tasks()
	r.lastTotals = now
	r.seconds = append(r.seconds, second)
	if r.options.Progress != nil {
		r.options.Progress(second)
	}
}

// leader gives the controller whose answers the most workers took last, and how many these are.
func (r *simulation) leader() (string, int) {
	name, most := "", 0
	for controller, n := range r.fleet.WorkersByController() {
		if n > most || n == most && controller < name {
			name, most = controller, n
		}
	}
	return name, most
}

// stopControllers ends the controllers.
func (r *simulation) stopControllers() {
	if r.controllers != nil {
		_ = r.controllers.close() // what has ended has ended
	}
}

// close ends all that the run has started.
func (r *simulation) close() {
	r.stopControllers()
	if r.cloud != nil {
		r.cloud.Close()
	}
	r.rollouts.close()
	if r.fleet != nil {
		r.fleet.Close()
	}
	if r.store != nil {
		r.store.Close()
	}
}
