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

// errRolledBack is returned if a watched plan has been rolled back.
var errRolledBack = errors.New("the rollout was rolled back")

// rolloutCommands are the commands for stepwise rollouts.
type rolloutCommands struct {
	Apply  rolloutApplyCmd  `cmd:"" help:"Submit a plan from a JSON file."`
	Show   rolloutShowCmd   `cmd:"" help:"Show a plan's status."`
	Watch  rolloutWatchCmd  `cmd:"" help:"Print a plan's status after each change until the plan has ended."`
	Pause  rolloutPauseCmd  `cmd:"" help:"Pause a plan, so that it takes no further step."`
	Resume rolloutResumeCmd `cmd:"" help:"Resume a paused plan."`
	Abort  rolloutAbortCmd  `cmd:"" help:"Abort a plan and roll it back."`
	Schema rolloutSchemaCmd `cmd:"" help:"Print the JSON schema of plans."`
}

// callAndPrint sends a request, and prints the returned plan status.
func (f *controllerFlags) callAndPrint(request func(context.Context, *adminapi.Client) (*operatorpb.PlanStatus, error)) error {
	status, err := callController(f, request)
	if err != nil {
		return err
	}
	return f.printPlan(os.Stdout, status)
}

type rolloutApplyCmd struct {
	controllerFlags
	File string `arg:"" help:"File with the plan (JSON, - for standard input)."`
}

// Run submits a plan. It validates the plan before sending it.
func (c *rolloutApplyCmd) Run() error {
	data, err := readInput(c.File)
	if err != nil {
		return err
	}
	plan, err := rollout.ParsePlan(data, adminapi.MaxPlanBytes)
	if err == nil {
		err = adminapi.CompileChecks(plan)
	}
	if err != nil {
		return &adminapi.InvalidError{Problem: fmt.Sprintf("%s: %v", c.File, err)}
	}
	return c.callAndPrint(func(ctx context.Context, client *adminapi.Client) (*operatorpb.PlanStatus, error) {
		return client.Apply(ctx, data)
	})
}

// planNameFlags are the flags and arguments of the commands for one plan.
type planNameFlags struct {
	controllerFlags
	Name string `arg:"" help:"The plan's name."`
}

type rolloutShowCmd struct{ planNameFlags }

// Run shows the status of a plan.
func (c *rolloutShowCmd) Run() error {
	return c.callAndPrint(func(ctx context.Context, client *adminapi.Client) (*operatorpb.PlanStatus, error) {
		return client.Show(ctx, c.Name)
	})
}

// applyChange sends a change of the plan, and prints the returned plan status.
func (c *planNameFlags) applyChange(change operatorpb.ChangeRequest_Change) error {
	return c.callAndPrint(func(ctx context.Context, client *adminapi.Client) (*operatorpb.PlanStatus, error) {
		return client.Change(ctx, c.Name, change)
	})
}

type rolloutPauseCmd struct{ planNameFlags }

// Run pauses a plan.
func (c *rolloutPauseCmd) Run() error { return c.applyChange(operatorpb.ChangeRequest_PAUSE) }

type rolloutResumeCmd struct{ planNameFlags }

// Run resumes a paused plan.
func (c *rolloutResumeCmd) Run() error { return c.applyChange(operatorpb.ChangeRequest_RESUME) }

type rolloutAbortCmd struct{ planNameFlags }

// Run aborts a plan, which rolls it back.
func (c *rolloutAbortCmd) Run() error { return c.applyChange(operatorpb.ChangeRequest_ABORT) }

type rolloutWatchCmd struct{ planNameFlags }

const watchPollInterval = time.Second

// Run prints the plan's status whenever its summary line has changed, until the plan has ended.
func (c *rolloutWatchCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	lastSummary := ""
	for {
		status, err := callController(&c.controllerFlags, func(ctx context.Context, client *adminapi.Client) (*operatorpb.PlanStatus, error) {
			return client.Show(ctx, c.Name)
		})
		if err != nil {
			return err
		}
		if line := planSummary(status); line != lastSummary {
			lastSummary = line
			if err := c.printPlan(os.Stdout, status); err != nil {
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

type rolloutSchemaCmd struct{}

// Run prints the JSON schema of plans.
func (rolloutSchemaCmd) Run() error {
	_, err := os.Stdout.Write(rollout.PlanSchema())
	return err
}
