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

// Environment is what models are played in.
type Environment struct {
	Binary      string   // of the product, for its commands
	Dir         string   // for plans
	Controllers []string // internal addresses
	Teams       []string
	Fleet       *simworker.Fleet
	Now         func() time.Duration
	Submit      func(ctx context.Context, a load.Arrival) // has a user submit a job and follow it
	Cancel      func(ctx context.Context, id string)      // has a user cancel it
}

// The intervals of what is played and measured.
const (
	routerInterval = 500 * time.Millisecond
	sampleInterval = 200 * time.Millisecond
	commandTimeout = time.Minute
)

// Rollout is the rollout of a model while it is played.
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
	wrongFrom  time.Duration // 0: nothing is wrong yet
	rollbackAt time.Duration // when it was first seen to roll back
	result     Result
	requests   requestCounts
}

// New prepares the rollout of a model, with a number among all models of the run.
func New(model Model, index int, world *Environment) (*Rollout, error) {
	p := &Rollout{model: model, index: index, team: world.Teams[index%len(world.Teams)], environment: world,
		old: model.jobIDs(index, rollout.OldVersion), new: model.jobIDs(index, rollout.NewVersion)}
	var err error
	if p.operator, err = adminapi.NewClient(world.Controllers[index%len(world.Controllers)]); err != nil {
		return nil, err
	}
	if model.Mode == Replace {
		return p, nil
	}
	for i := range model.Routers {
		r, err := simrouter.New(fmt.Sprintf("%s-%d", model.Name, i), model.Name, world.Controllers, routerInterval)
		if err != nil {
			return nil, err
		}
		p.routers = append(p.routers, r)
	}
	return p, nil
}

// Run plays the rollout until the context ends.
func (p *Rollout) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	background := func(f func(context.Context)) {
		running.Add(1)
		go func() { defer running.Done(); f(ctx) }()
	}
	for _, id := range p.old {
		p.environment.Submit(ctx, p.model.arrival(id, p.team, rollout.OldVersion))
	}
	p.sleepUntil(ctx, config.Seconds(p.model.AtS))
	if p.model.Mode == Replace {
		p.replace(ctx)
	} else {
		p.apply(ctx)
		for _, r := range p.routers {
			background(r.Run)
		}
		background(p.sendLoad)
		background(p.partitionRouter)
	}
	p.sampleUntilDone(ctx)
	for _, r := range p.routers {
		defer r.Close()
	}
	_ = p.operator.Close()
}

// sleepUntil waits for a moment of the run.
func (p *Rollout) sleepUntil(ctx context.Context, moment time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(moment - p.environment.Now()):
	}
}

// apply has the owner apply the plan by the command, and submit the new jobs.
func (p *Rollout) apply(ctx context.Context) {
	plan, err := p.model.plan(p.index, p.team)
	file := filepath.Join(p.environment.Dir, p.model.Name+".plan.json")
	if err == nil {
		err = os.WriteFile(file, plan, 0o600)
	}
	if err == nil {
		err = p.command(ctx, "apply", file)
	}
	p.recordEvent("plan applied", err)
	for _, id := range p.new {
		p.environment.Submit(ctx, p.model.arrival(id, p.team, rollout.NewVersion))
	}
}

// command runs a command for rollouts, as operators do.
func (p *Rollout) command(ctx context.Context, args ...string) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	args = append([]string{"rollout"}, args...)
	out, err := exec.CommandContext(ctx, p.environment.Binary, append(args, "--controller", p.environment.Controllers[p.index%len(p.environment.Controllers)])...).CombinedOutput()
	if err != nil {
		return fmt.Errorf("%w: %s", err, strings.TrimSpace(string(out)))
	}
	return nil
}

// replace cancels the old jobs as it submits the new ones.
func (p *Rollout) replace(ctx context.Context) {
	p.recordEvent("old jobs cancelled, new ones submitted", nil)
	for i := range p.old {
		go p.environment.Cancel(ctx, p.old[i])
		p.environment.Submit(ctx, p.model.arrival(p.new[i], p.team, rollout.NewVersion))
	}
}

// partitionRouter cuts the first router off for a while.
func (p *Rollout) partitionRouter(ctx context.Context) {
	cut := p.model.RouterPartition
	if cut == nil {
		return
	}
	p.sleepUntil(ctx, config.Seconds(cut.AtS))
	p.routers[0].SetPartitioned(true)
	p.recordEvent("router cut off", nil)
	p.sleepUntil(ctx, config.Seconds(cut.AtS+cut.ForS))
	p.routers[0].SetPartitioned(false)
	p.recordEvent("router back", nil)
}

// recordEvent keeps an event.
func (p *Rollout) recordEvent(what string, err error) {
	if err != nil {
		what += ": " + err.Error()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.result.Events = append(p.result.Events, Event{AtS: p.environment.Now().Seconds(), What: what})
}

// IsWrong tells whether a task answers a request wrongly now.
func (p *Rollout) IsWrong(task string, request int64) bool {
	w := p.model.Wrong
	if w == nil || !strings.HasPrefix(task, p.new[0]+"/") || request%w.Every != 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.wrongFrom > 0 && p.environment.Now() >= p.wrongFrom
}

// sampleUntilDone takes samples until the context ends.
func (p *Rollout) sampleUntilDone(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	asking := make(chan struct{}, 1)
	for {
		select {
		case <-ctx.Done():
			p.summarize()
			return
		case <-ticker.C:
		}
		if p.model.Mode != Replace {
			select {
			case asking <- struct{}{}:
				go func() { p.refreshStatus(ctx); <-asking }()
			default: // the last question has no answer yet
			}
		}
		p.sample()
	}
}

// refreshStatus asks how the plan stands.
func (p *Rollout) refreshStatus(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	status, err := p.operator.Show(ctx, p.model.Name)
	if err != nil {
		return
	}
	now := p.environment.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.status == nil || p.status.GetPhase() != status.GetPhase() || p.status.GetStep() != status.GetStep() {
		what := fmt.Sprintf("%s, step %d", status.GetPhase(), status.GetStep())
		if status.GetReason() != "" {
			what += ": " + status.GetReason() + " " + status.GetDetail()
		}
		p.result.Events = append(p.result.Events, Event{AtS: now.Seconds(), What: what})
	}
	p.status, p.statusAt = status, now
	phase := rollout.Phase(status.GetPhase())
	if w := p.model.Wrong; w != nil && p.wrongFrom == 0 && phase == w.Phase {
		p.wrongFrom = now + config.Seconds(w.AfterS)
	}
	if phase == rollout.RollingBack && p.rollbackAt == 0 {
		p.rollbackAt = now
	}
}
