// Command fleetsim simulates a large fleet on one machine: real controllers, simulated workers.
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

// controllerPackage is the controllers' program, built where no binary is named.
const controllerPackage = "./cmd/bitternwing"

// cli are the flags. Kong makes them and their help from the tags.
type cli struct {
	Scenario  string  `arg:"" optional:"" default:"deploy/scale/smoke.json" help:"The scenario (JSON)."`
	Binary    string  `placeholder:"FILE" help:"The controllers' program; built from these sources if absent."`
	Out       string  `default:"target/fleetsim" placeholder:"DIR" help:"Where settings, logs and results go."`
	Port      int     `default:"0" help:"First port of the controllers; 0: any free ones."`
	Processes int     `default:"40" help:"The most processes to run."`
	Scale     float64 `default:"1" help:"Simulate this share of the scenario's workers, teams and starts."`
	Schema    bool    `help:"Print the schema of scenarios and end."`
}

// outMode is the mode of the directory for the output.
const outMode = 0o755

// Run simulates the scenario, and writes and prints the result.
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
	if err := os.MkdirAll(c.Out, outMode); err != nil {
		return err
	}
	binary, err := c.controllerBinary(context.Background())
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if scenario.Sweep != nil {
		return c.sweep(ctx, scenario, binary)
	}
	return c.simulate(ctx, scenario, binary)
}

// simulate simulates a scenario once.
func (c *cli) simulate(ctx context.Context, scenario *fleetsim.Scenario, binary string) error {
	progress := newProgress(os.Stderr, scenario)
	options := c.options(binary)
	options.Progress = progress.show
	result, err := fleetsim.Run(ctx, scenario, options)
	progress.end()
	if result == nil {
		return err
	}
	return errors.Join(err, c.write(os.Stdout, result))
}

func (c *cli) options(binary string) fleetsim.Options {
	return fleetsim.Options{Binary: binary, Dir: c.Out, BasePort: c.Port, MaxProcesses: c.Processes}
}

// sweep simulates a scenario once for each variant and seed.
func (c *cli) sweep(ctx context.Context, scenario *fleetsim.Scenario, binary string) error {
	runs, err := fleetsim.RunSweep(ctx, scenario, c.options(binary))
	return errors.Join(err, fleetsim.WriteSweep(c.Out, runs), fleetsim.PrintSweep(os.Stdout, runs))
}

// controllerBinary gives the path of the controllers' program, which is built if none is named.
func (c *cli) controllerBinary(ctx context.Context) (string, error) {
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

// write writes the result to files and prints a summary.
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
	var command cli
	ctx := kong.Parse(&command, kong.Name("fleetsim"), kong.Description("Simulates a large fleet on one machine: real controllers, simulated workers."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "fleetsim:", err)
		os.Exit(exitStatus(err))
	}
}

// exitStatus gives the exit status for an error.
func exitStatus(err error) int {
	if errors.Is(err, fleetsim.ErrRuleBroken) {
		return exitRuleBroken
	}
	if errors.Is(err, fleetsim.ErrPromiseBroken) {
		return exitPromise
	}
	return exitFailure
}
