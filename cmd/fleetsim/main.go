// Command fleetsim plays a large fleet on one machine: real controllers, hollow workers.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/alecthomas/kong"

	"bitternwing/internal/fleetsim"
)

// The exit statuses; kong ends with 80 for wrong arguments.
const (
	exitFailure    = 1
	exitRuleBroken = 3
	exitPromise    = 4
)

// controllerPackage is the product's program, built where no binary is named.
const controllerPackage = "./cmd/bitternwing"

type cli struct {
	Scenario  string  `arg:"" optional:"" default:"deploy/scale/smoke.json" help:"What to play (JSON)."`
	Binary    string  `placeholder:"FILE" help:"The controllers' program; built from these sources if absent."`
	Out       string  `default:"target/fleetsim" placeholder:"DIR" help:"Where settings, logs and results go."`
	Port      int     `default:"0" help:"First port of the controllers; 0: any free ones."`
	Processes int     `default:"40" help:"The most processes to run."`
	Scale     float64 `default:"1" help:"Play this share of the scenario's workers, teams and starts."`
	Schema    bool    `help:"Print the schema of scenarios and end."`
}

// Run plays the scenario and prints what it came to.
func (c *cli) Run() error {
	if c.Schema {
		_, err := os.Stdout.Write(fleetsim.ScenarioSchema())
		return err
	}
	scenario, err := fleetsim.LoadScenario(c.Scenario)
	if err != nil {
		return err
	}
	if c.Scale != 1 {
		scenario = scenario.Scale(c.Scale)
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return err
	}
	binary, err := c.controller(context.Background())
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if scenario.Sweep != nil {
		return c.sweep(ctx, scenario, binary)
	}
	progress := newProgress(os.Stderr, scenario)
	result, err := fleetsim.Run(ctx, scenario, fleetsim.Options{Binary: binary, Dir: c.Out, BasePort: c.Port,
		MaxProcesses: c.Processes, Progress: progress.show})
	progress.end()
	if result == nil {
		return err
	}
	if failed := c.write(os.Stdout, result); failed != nil {
		return errors.Join(err, failed)
	}
	return err
}

// sweep plays a scenario once for each variant and seed.
func (c *cli) sweep(ctx context.Context, scenario *fleetsim.Scenario, binary string) error {
	runs, err := fleetsim.RunSweep(ctx, scenario, fleetsim.Options{Binary: binary, Dir: c.Out, BasePort: c.Port, MaxProcesses: c.Processes})
	return errors.Join(err, fleetsim.WriteSweep(c.Out, runs), fleetsim.PrintSweep(os.Stdout, runs))
}

// controller gives the controllers' program, built if none is named.
func (c *cli) controller(ctx context.Context) (string, error) {
	if c.Binary != "" {
		return c.Binary, nil
	}
	binary := filepath.Join(c.Out, "bitternwing")
	build := exec.CommandContext(ctx, "go", "build", "-o", binary, controllerPackage)
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return "", fmt.Errorf("building %s (name a binary with --binary elsewhere): %w", controllerPackage, err)
	}
	return binary, nil
}

// write keeps the result and prints a summary.
func (c *cli) write(w io.Writer, result *fleetsim.Result) error {
	data, page := filepath.Join(c.Out, "result.json"), filepath.Join(c.Out, "result.html")
	if err := result.Write(data); err != nil {
		return err
	}
	if err := result.WritePage(page); err != nil {
		return err
	}
	if err := result.Print(w); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "details: %s, %s\n", page, data)
	return err
}

func main() {
	var c cli
	ctx := kong.Parse(&c, kong.Name("fleetsim"), kong.Description("Plays a large fleet on one machine: real controllers, hollow workers."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "fleetsim:", err)
		os.Exit(exitStatus(err))
	}
}

func exitStatus(err error) int {
	if errors.Is(err, fleetsim.ErrRuleBroken) {
		return exitRuleBroken
	}
	if errors.Is(err, fleetsim.ErrPromiseBroken) {
		return exitPromise
	}
	return exitFailure
}
