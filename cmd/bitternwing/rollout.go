package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"bitternwing/internal/adminapi"
	"bitternwing/internal/adminapi/operatorpb"
	"bitternwing/internal/rollout"
)

// The exit statuses of the rollout commands beside those of the job commands.
const (
	exitInvalidPlan = 6
	exitRolledBack  = 7
	exitNotPlaced   = 8
)

// errRolledBack says that a plan that was watched went back.
var errRolledBack = errors.New("the rollout was rolled back")

// rolloutCmd are the commands for the rollout of a model's new version.
type rolloutCmd struct {
	Apply  applyCmd      `cmd:"" help:"Hand in a plan from a file (JSON)."`
	Show   planNameFlags `cmd:"" help:"Show how a plan stands."`
	Watch  watchCmd      `cmd:"" help:"Show a plan's changes until it has ended."`
	Pause  pauseCmd      `cmd:"" help:"Have a plan take no further step."`
	Resume resumeCmd     `cmd:"" help:"Have a paused plan go on."`
	Abort  abortCmd      `cmd:"" help:"Roll a plan back."`
	Schema planSchemaCmd `cmd:"" help:"Print the schema of plans."`
}

// controllerFlags say which controller to ask.
type controllerFlags struct {
	Controller string `required:"" placeholder:"HOST:PORT" env:"BITTERNWING_CONTROLLER" help:"Internal address of any controller."`
	responseFlags
}

// callController asks a controller, within the time to wait.
func callController[Reply any](f *controllerFlags, request func(context.Context, *adminapi.Client) (*Reply, error)) (*Reply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), f.Wait)
	defer cancel()
	client, err := adminapi.NewClient(f.Controller)
	if err != nil {
		return nil, err
	}
	defer func() { _ = client.Close() }()
	return request(ctx, client)
}

// run asks, and prints how the plan stands.
func (f *controllerFlags) run(request func(context.Context, *adminapi.Client) (*operatorpb.PlanStatus, error)) error {
	status, err := callController(f, request)
	if err != nil {
		return err
	}
	return f.print(os.Stdout, status)
}

func (f *controllerFlags) print(w io.Writer, s *operatorpb.PlanStatus) error {
	if f.JSON {
		return printJSON(w, s)
	}
	if _, err := fmt.Fprintln(w, summary(s)); err != nil {
		return err
	}
	for _, r := range s.GetReplicas() {
		state := r.GetVerdict()
		if r.GetCheck() != "" {
			state += " (" + r.GetCheck() + ")"
		}
		if _, err := fmt.Fprintf(w, "  %s %s attempt %d: %s, %.1f%% of traffic\n", r.GetVersion(), r.GetTask(), r.GetAttempt(), state, 100*r.GetShare()); err != nil {
			return err
		}
	}
	return nil
}

// printJSON prints a message as a line of JSON.
func printJSON(w io.Writer, m proto.Message) error {
	text, err := protojson.Marshal(m)
	if err != nil {
		return err
	}
	// protojson varies its spaces on purpose; scripts get one form.
	compact, err := json.Marshal(json.RawMessage(text))
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(w, string(compact))
	return err
}

// summary gives a plan's state in a line.
func summary(s *operatorpb.PlanStatus) string {
	if s.GetProblem() != "" {
		return fmt.Sprintf("%s: left alone: %s", s.GetName(), s.GetProblem())
	}
	line := fmt.Sprintf("%s: %s, step %d of %d", s.GetName(), s.GetPhase(), s.GetStep(), s.GetSteps())
	if s.GetPaused() {
		line += ", paused"
	}
	if s.GetReason() != "" {
		line += ", " + s.GetReason()
	}
	if s.GetDetail() != "" {
		line += " (" + s.GetDetail() + ")"
	}
	if !s.GetSettled() {
		return line + "; the leader has yet to ask all replicas"
	}
	return line + fmt.Sprintf("; capacity old %g, new %g, promised %g; %.1f%% of traffic to the new version, %d routers", s.GetOldCapacity(),
		s.GetNewCapacity(), s.GetPromisedCapacity(), 100*s.GetNewShare(), len(s.GetRouters()))
}

type applyCmd struct {
	controllerFlags
	File string `arg:"" help:"The plan (JSON, - for standard input)."`
}

// Run hands in a plan. One that is malformed is not sent.
func (c *applyCmd) Run() error {
	text, err := readFile(c.File)
	if err != nil {
		return err
	}
	plan, err := rollout.ParsePlan(text, adminapi.MaxPlanBytes)
	if err == nil {
		err = adminapi.CompileChecks(plan)
	}
	if err != nil {
		return &adminapi.InvalidError{Problem: fmt.Sprintf("%s: %v", c.File, err)}
	}
	return c.run(func(ctx context.Context, client *adminapi.Client) (*operatorpb.PlanStatus, error) {
		return client.Apply(ctx, text)
	})
}

type planNameFlags struct {
	controllerFlags
	Name string `arg:"" help:"The plan's name."`
}

// Run shows how a plan stands.
func (c *planNameFlags) Run() error {
	return c.run(func(ctx context.Context, client *adminapi.Client) (*operatorpb.PlanStatus, error) {
		return client.Show(ctx, c.Name)
	})
}

// change has a plan changed.
func (c *planNameFlags) change(change operatorpb.ChangeRequest_Change) error {
	return c.run(func(ctx context.Context, client *adminapi.Client) (*operatorpb.PlanStatus, error) {
		return client.Change(ctx, c.Name, change)
	})
}

type pauseCmd struct{ planNameFlags }

// Run pauses a plan.
func (c *pauseCmd) Run() error { return c.change(operatorpb.ChangeRequest_PAUSE) }

type resumeCmd struct{ planNameFlags }

// Run has a paused plan go on.
func (c *resumeCmd) Run() error { return c.change(operatorpb.ChangeRequest_RESUME) }

type abortCmd struct{ planNameFlags }

// Run rolls a plan back.
func (c *abortCmd) Run() error { return c.change(operatorpb.ChangeRequest_ABORT) }

type watchCmd struct{ planNameFlags }

// watchPollInterval is the time between two looks.
const watchPollInterval = time.Second

// Run shows each change of a plan until it has ended.
func (c *watchCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	last := ""
	for {
		status, err := callController(&c.controllerFlags, func(ctx context.Context, client *adminapi.Client) (*operatorpb.PlanStatus, error) {
			return client.Show(ctx, c.Name)
		})
		if err != nil {
			return err
		}
		if line := summary(status); line != last {
			last = line
			if err := c.print(os.Stdout, status); err != nil {
				return err
			}
		}
		phase := rollout.Phase(status.GetPhase())
		if phase == rollout.Completed {
			return nil
		}
		if phase == rollout.RolledBack {
			return errRolledBack
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(watchPollInterval):
		}
	}
}

type planSchemaCmd struct{}

// Run prints the schema of plans.
func (planSchemaCmd) Run() error {
	_, err := os.Stdout.Write(rollout.PlanSchema())
	return err
}

// rolloutExitStatus gives the exit status for an error of the rollout commands; 0 if it is none of theirs.
func rolloutExitStatus(err error) int {
	var invalid *adminapi.InvalidError
	var refused *adminapi.RefusedError
	var unavailable *adminapi.UnavailableError
	switch {
	case errors.As(err, &invalid):
		return exitInvalidPlan
	case errors.As(err, &refused):
		return exitRefused
	case errors.Is(err, adminapi.ErrNotFound):
		return exitNotFound
	case errors.As(err, &unavailable):
		return exitUnavailable
	case errors.Is(err, errRolledBack):
		return exitRolledBack
	case errors.Is(err, errNotPlaced):
		return exitNotPlaced
	}
	return 0
}
