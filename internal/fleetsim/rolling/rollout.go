package rolling

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"bitternwing/internal/adminapi"
	"bitternwing/internal/adminapi/operatorpb"
	"bitternwing/internal/config"
	"bitternwing/internal/fleetsim/load"
	"bitternwing/internal/rollout"
	"bitternwing/internal/simrouter"
	"bitternwing/internal/simworker"
)

// Environment gives rollouts access to the fleet simulation.
type Environment struct {
	ControllerBinary string   // for its rollout command
	Dir              string   // for files with plans
	Controllers      []string // internal addresses
	Teams            []string
	Fleet            *simworker.Fleet
	Now              func() time.Duration
	Submit           func(ctx context.Context, arrival load.Arrival) // submits a job as a user, and polls it
	Cancel           func(ctx context.Context, id string)            // cancels a job as its user
}

// The intervals of routers and samples, and the timeouts for a rollout command and a request for the status.
const (
	routerInterval = 500 * time.Millisecond
	sampleInterval = 200 * time.Millisecond
	commandTimeout = time.Minute
	statusTimeout  = 2 * time.Second
)

// Rollout is the simulated rollout of a model.
type Rollout struct {
	model            Model
	index            int
	team             string
	environment      *Environment
	operator         *adminapi.Client
	routers          []*simrouter.Router
	oldJobs, newJobs []string

	mu         sync.Mutex
	status     *operatorpb.PlanStatus // nil until one was received
	statusAt   time.Duration
	wrongFrom  time.Duration // when wrong responses begin; 0 if not yet known
	rollbackAt time.Duration // when the plan was first seen to roll back; 0 if never
	result     Result
	counts     requestCounts
}

// New prepares the rollout of a model. index is the index of the model in the scenario.
func New(model Model, index int, environment *Environment) (*Rollout, error) {
	r := &Rollout{model: model, index: index, team: environment.Teams[index%len(environment.Teams)], environment: environment,
		oldJobs: model.jobIDs(index, rollout.OldVersion), newJobs: model.jobIDs(index, rollout.NewVersion)}
	var err error
	if r.operator, err = adminapi.NewClient(environment.Controllers[index%len(environment.Controllers)]); err != nil {
		return nil, err
	}
	if model.Mode == Replace {
		return r, nil
	}
	for i := range model.Routers {
		router, err := simrouter.New(fmt.Sprintf("%s-%d", model.Name, i), model.Name, environment.Controllers, routerInterval)
		if err != nil {
			return nil, err
		}
		r.routers = append(r.routers, router)
	}
	return r, nil
}

// Run submits the old jobs, begins the rollout at its time, and simulates and measures it until the context ends.
func (r *Rollout) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	background := func(work func(context.Context)) {
		running.Add(1)
		go func() { defer running.Done(); work(ctx) }()
	}
	for _, id := range r.oldJobs {
		r.environment.Submit(ctx, r.model.arrival(id, r.team, rollout.OldVersion))
	}
	r.sleepUntil(ctx, config.Seconds(r.model.AtS))
	if r.model.Mode == Replace {
		r.replaceJobs(ctx)
	} else {
		r.applyPlan(ctx)
		for _, router := range r.routers {
			background(router.Run)
		}
		background(r.sendLoad)
		background(r.partitionRouter)
	}
	r.sampleUntilDone(ctx)
	for _, router := range r.routers {
		defer router.Close()
	}
	_ = r.operator.Close()
}

// sleepUntil waits until a time after the start of the simulation, or until the context ends.
func (r *Rollout) sleepUntil(ctx context.Context, wakeAt time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wakeAt - r.environment.Now()):
	}
}

// applyPlan applies the plan with the rollout command, and submits the new jobs.
func (r *Rollout) applyPlan(ctx context.Context) {
	plan, err := r.model.plan(r.index, r.team)
	file := filepath.Join(r.environment.Dir, r.model.Name+".plan.json")
	if err == nil {
		err = os.WriteFile(file, plan, 0o600)
	}
	if err == nil {
		err = r.runCommand(ctx, "apply", file)
	}
	r.recordEvent("plan applied", err)
	for _, id := range r.newJobs {
		r.environment.Submit(ctx, r.model.arrival(id, r.team, rollout.NewVersion))
	}
}

// runCommand runs the rollout command of the controller binary, as operators do.
func (r *Rollout) runCommand(ctx context.Context, args ...string) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	args = append([]string{"rollout"}, args...)
	out, err := exec.CommandContext(ctx, r.environment.ControllerBinary, append(args, "--controller", r.environment.Controllers[r.index%len(r.environment.Controllers)])...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("%w: %s", err, strings.TrimSpace(string(out)))
	}
	return nil
}

// replaceJobs cancels the old jobs and submits the new ones at the same time.
func (r *Rollout) replaceJobs(ctx context.Context) {
	r.recordEvent("old jobs cancelled, new ones submitted", nil)
	for i := range r.oldJobs {
		go r.environment.Cancel(ctx, r.oldJobs[i])
		r.environment.Submit(ctx, r.model.arrival(r.newJobs[i], r.team, rollout.NewVersion))
	}
}

// partitionRouter injects the partition of the first router, if the model has one.
func (r *Rollout) partitionRouter(ctx context.Context) {
	partition := r.model.RouterPartition
	if partition == nil {
		return
	}
	r.sleepUntil(ctx, config.Seconds(partition.AtS))
	r.routers[0].SetPartitioned(true)
	r.recordEvent("router partitioned", nil)
	r.sleepUntil(ctx, config.Seconds(partition.AtS+partition.ForS))
	r.routers[0].SetPartitioned(false)
	r.recordEvent("router reconnected", nil)
}

// recordEvent records an event, and the error if it failed.
func (r *Rollout) recordEvent(message string, err error) {
	if err != nil {
		message += ": " + err.Error()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Events = append(r.result.Events, Event{AtS: r.environment.Now().Seconds(), What: message})
}

// IsWrong reports whether a task is to return a wrong response to a request now.
func (r *Rollout) IsWrong(task string, request int64) bool {
	injected := r.model.Wrong
	if injected == nil || !strings.HasPrefix(task, r.newJobs[0]+"/") || request%injected.Every != 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.wrongFrom > 0 && r.environment.Now() >= r.wrongFrom
}

// sampleUntilDone takes samples until the context ends, and then completes the result.
func (r *Rollout) sampleUntilDone(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	refreshing := make(chan struct{}, 1)
	for {
		select {
		case <-ctx.Done():
			r.summarize()
			return
		case <-ticker.C:
		}
		if r.model.Mode != Replace {
			select {
			case refreshing <- struct{}{}:
				go func() { r.refreshStatus(ctx); <-refreshing }()
			default: // the last request is still pending
			}
		}
		r.sample()
	}
}

// refreshStatus requests the status of the plan, and records an event if its phase or step has changed. After an error,
// for example during a failover, the last status stays.
func (r *Rollout) refreshStatus(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, err := r.operator.Show(ctx, r.model.Name)
	if err != nil {
		return
	}
	now := r.environment.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.status == nil || r.status.GetPhase() != status.GetPhase() || r.status.GetStep() != status.GetStep() {
		message := fmt.Sprintf("%s, step %d", status.GetPhase(), status.GetStep())
		if status.GetReason() != "" {
			message += ": " + status.GetReason() + " " + status.GetDetail()
		}
		r.result.Events = append(r.result.Events, Event{AtS: now.Seconds(), What: message})
	}
	r.status, r.statusAt = status, now
	phase := rollout.Phase(status.GetPhase())
	if injected := r.model.Wrong; injected != nil && r.wrongFrom == 0 && phase == injected.Phase {
		r.wrongFrom = now + config.Seconds(injected.AfterS)
	}
	if phase == rollout.RollingBack && r.rollbackAt == 0 {
		r.rollbackAt = now
	}
}
