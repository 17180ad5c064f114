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

// Environment is the simulation around the rollouts.
type Environment struct {
	Binary      string   // of the controllers, for its commands
	Dir         string   // for plans
	Controllers []string // internal addresses
	Teams       []string
	Fleet       *simworker.Fleet
	Now         func() time.Duration
	Submit      func(ctx context.Context, arrival load.Arrival) // submits a job as a user does, and polls it
	Cancel      func(ctx context.Context, id string)            // cancels it as a user does
}

// The intervals of routers and samples, and the time for a command.
const (
	routerInterval = 500 * time.Millisecond
	sampleInterval = 200 * time.Millisecond
	commandTimeout = time.Minute
	statusTimeout  = 2 * time.Second
)

// Rollout is the rollout of a model while it is simulated.
type Rollout struct {
	model       Model
	index       int
	team        string
	environment *Environment
	operator    *adminapi.Client
	routers     []*simrouter.Router
	old, new    []string

	mu         sync.Mutex
	status     *operatorpb.PlanStatus // as last seen
	statusAt   time.Duration
	wrongFrom  time.Duration // 0: no response is wrong yet
	rollbackAt time.Duration // when it was first seen to roll back
	result     Result
	requests   requestCounts
}

// New prepares the rollout of a model, with an index among all models of the simulation.
func New(model Model, index int, world *Environment) (*Rollout, error) {
	r := &Rollout{model: model, index: index, team: world.Teams[index%len(world.Teams)], environment: world,
		old: model.jobIDs(index, rollout.OldVersion), new: model.jobIDs(index, rollout.NewVersion)}
	var err error
	if r.operator, err = adminapi.NewClient(world.Controllers[index%len(world.Controllers)]); err != nil {
		return nil, err
	}
	if model.Mode == Replace {
		return r, nil
	}
	for i := range model.Routers {
		router, err := simrouter.New(fmt.Sprintf("%s-%d", model.Name, i), model.Name, world.Controllers, routerInterval)
		if err != nil {
			return nil, err
		}
		r.routers = append(r.routers, router)
	}
	return r, nil
}

// Run simulates the rollout until the context ends.
func (r *Rollout) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	background := func(work func(context.Context)) {
		running.Add(1)
		go func() { defer running.Done(); work(ctx) }()
	}
	for _, id := range r.old {
		r.environment.Submit(ctx, r.model.arrival(id, r.team, rollout.OldVersion))
	}
	r.sleepUntil(ctx, config.Seconds(r.model.AtS))
	if r.model.Mode == Replace {
		r.replace(ctx)
	} else {
		r.apply(ctx)
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

// sleepUntil waits until a time after the start.
func (r *Rollout) sleepUntil(ctx context.Context, moment time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(moment - r.environment.Now()):
	}
}

// apply applies the plan with the command, and submits the new jobs.
func (r *Rollout) apply(ctx context.Context) {
	plan, err := r.model.plan(r.index, r.team)
	file := filepath.Join(r.environment.Dir, r.model.Name+".plan.json")
	if err == nil {
		err = os.WriteFile(file, plan, 0o600)
	}
	if err == nil {
		err = r.command(ctx, "apply", file)
	}
	r.recordEvent("plan applied", err)
	for _, id := range r.new {
		r.environment.Submit(ctx, r.model.arrival(id, r.team, rollout.NewVersion))
	}
}

// command runs a rollout command, as operators do.
func (r *Rollout) command(ctx context.Context, args ...string) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	args = append([]string{"rollout"}, args...)
	out, err := exec.CommandContext(ctx, r.environment.Binary, append(args, "--controller", r.environment.Controllers[r.index%len(r.environment.Controllers)])...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("%w: %s", err, strings.TrimSpace(string(out)))
	}
	return nil
}

// replace cancels the old jobs as it submits the new ones.
func (r *Rollout) replace(ctx context.Context) {
	r.recordEvent("old jobs cancelled, new ones submitted", nil)
	for i := range r.old {
		go r.environment.Cancel(ctx, r.old[i])
		r.environment.Submit(ctx, r.model.arrival(r.new[i], r.team, rollout.NewVersion))
	}
}

// partitionRouter partitions the first router from all controllers for a while.
func (r *Rollout) partitionRouter(ctx context.Context) {
	partition := r.model.RouterPartition
	if partition == nil {
		return
	}
	r.sleepUntil(ctx, config.Seconds(partition.AtS))
	r.routers[0].SetPartitioned(true)
	r.recordEvent("router cut off", nil)
	r.sleepUntil(ctx, config.Seconds(partition.AtS+partition.ForS))
	r.routers[0].SetPartitioned(false)
	r.recordEvent("router back", nil)
}

// recordEvent records an event, with its error.
func (r *Rollout) recordEvent(what string, err error) {
	if err != nil {
		what += ": " + err.Error()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Events = append(r.result.Events, Event{AtS: r.environment.Now().Seconds(), What: what})
}

// IsWrong tells whether a task responds wrongly to a request now.
func (r *Rollout) IsWrong(task string, request int64) bool {
	wrong := r.model.Wrong
	if wrong == nil || !strings.HasPrefix(task, r.new[0]+"/") || request%wrong.Every != 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.wrongFrom > 0 && r.environment.Now() >= r.wrongFrom
}

// sampleUntilDone takes samples until the context ends.
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
			default: // the last request has no response yet
			}
		}
		r.sample()
	}
}

// refreshStatus requests the status of the plan.
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
		what := fmt.Sprintf("%s, step %d", status.GetPhase(), status.GetStep())
		if status.GetReason() != "" {
			what += ": " + status.GetReason() + " " + status.GetDetail()
		}
		r.result.Events = append(r.result.Events, Event{AtS: now.Seconds(), What: what})
	}
	r.status, r.statusAt = status, now
	phase := rollout.Phase(status.GetPhase())
	if wrong := r.model.Wrong; wrong != nil && r.wrongFrom == 0 && phase == wrong.Phase {
		r.wrongFrom = now + config.Seconds(wrong.AfterS)
	}
	if phase == rollout.RollingBack && r.rollbackAt == 0 {
		r.rollbackAt = now
	}
}
