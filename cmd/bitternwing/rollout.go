package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"bitternwing/internal/adminapi"
	"bitternwing/internal/adminapi/operatorpb"
	"bitternwing/internal/rollout"
)

// errRolledBack is returned if a watched plan was rolled back.
var errRolledBack = errors.New("the rollout was rolled back")

// rolloutCmd are the commands for the rollout of a model's new version.
type rolloutCmd struct {
	Apply  applyCmd      `cmd:"" help:"Hand in a plan from a file (JSON)."`
	Show   planShowCmd   `cmd:"" help:"Show how a plan stands."`
	Watch  watchCmd      `cmd:"" help:"Show a plan's changes until it has ended."`
	Pause  pauseCmd      `cmd:"" help:"Have a plan take no further step."`
	Resume resumeCmd     `cmd:"" help:"Have a paused plan go on."`
	Abort  abortCmd      `cmd:"" help:"Roll a plan back."`
	Schema planSchemaCmd `cmd:"" help:"Print the schema of plans."`
}

// run makes a request, and prints the status of the plan.
func (f *controllerFlags) run(request func(context.Context, *adminapi.Client) (*operatorpb.PlanStatus, error)) error {
	status, err := callController(f, request)
	if err != nil {
		return err
	}
	return f.print(os.Stdout, status)
}

type applyCmd struct {
	controllerFlags
	File string `arg:"" help:"The plan (JSON, - for standard input)."`
}

// Run submits a plan. One that is malformed is not sent.
func (c *applyCmd) Run() error {
	text, err := readInput(c.File)
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

// planNameFlags name a plan.
type planNameFlags struct {
	controllerFlags
	Name string `arg:"" help:"The plan's name."`
}

type planShowCmd struct{ planNameFlags }

// Run shows the status of a plan.
func (c *planShowCmd) Run() error {
	return c.run(func(ctx context.Context, client *adminapi.Client) (*operatorpb.PlanStatus, error) {
		return client.Show(ctx, c.Name)
	})
}

// change changes a plan.
func (c *planNameFlags) change(change operatorpb.ChangeRequest_Change) error {
	return c.run(func(ctx context.Context, client *adminapi.Client) (*operatorpb.PlanStatus, error) {
		return client.Change(ctx, c.Name, change)
	})
}

type pauseCmd struct{ planNameFlags }

// Run pauses a plan.
func (c *pauseCmd) Run() error { return c.change(operatorpb.ChangeRequest_PAUSE) }

type resumeCmd struct{ planNameFlags }

// Run resumes a paused plan.
func (c *resumeCmd) Run() error { return c.change(operatorpb.ChangeRequest_RESUME) }

type abortCmd struct{ planNameFlags }

// Run rolls a plan back.
func (c *abortCmd) Run() error { return c.change(operatorpb.ChangeRequest_ABORT) }

type watchCmd struct{ planNameFlags }

// watchPollInterval is the time between two requests.
const watchPollInterval = time.Second

// Run prints each change of a plan until it has ended.
func (c *watchCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	lastLine := ""
	for {
		status, err := callController(&c.controllerFlags, func(ctx context.Context, client *adminapi.Client) (*operatorpb.PlanStatus, error) {
			return client.Show(ctx, c.Name)
		})
		if err != nil {
			return err
		}
		if line := summary(status); line != lastLine {
			lastLine = line
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
