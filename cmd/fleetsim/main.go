// Command fleetsim simulates a large fleet on one machine, with real controllers and simulated workers.
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

// The exit statuses. Kong exits with 80 for invalid arguments.
const (
	exitFailure       = 1
	exitRuleBroken    = 3
	exitPromiseBroken = 4
)

// controllerPackage is the package of the controller binary, which is built unless --binary is set.
const controllerPackage = "./cmd/bitternwing"

// cli holds the command line arguments. Kong derives them and their help from the tags.
type cli struct {
	Scenario  string  `arg:"" optional:"" default:"deploy/scale/smoke.json" help:"Scenario file (JSON)."`
	Binary    string  `placeholder:"FILE" help:"Controller binary. Built from the sources in the current directory if not set."`
	Out       string  `default:"target/fleetsim" placeholder:"DIR" help:"Directory for settings, logs and results."`
	Port      int     `default:"0" help:"First port of the controllers, or 0 for any free ports."`
	Processes int     `default:"40" help:"Maximum number of processes to run."`
	Scale     float64 `default:"1" help:"Share of the scenario's workers, teams and starts to simulate."`
	Schema    bool    `help:"Print the JSON schema of scenarios and exit."`
}

const outDirMode = 0o755

// Run simulates the scenario, or its sweep, and writes and prints the result.
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
	if err := os.MkdirAll(c.Out, outDirMode); err != nil {
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

// simulate simulates a scenario once, and shows the progress.
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
	return fleetsim.Options{ControllerBinary: binary, Dir: c.Out, BasePort: c.Port, MaxProcesses: c.Processes}
}

// sweep simulates a scenario once for each variant and seed.
func (c *cli) sweep(ctx context.Context, scenario *fleetsim.Scenario, binary string) error {
	runs, err := fleetsim.RunSweep(ctx, scenario, c.options(binary))
	return errors.Join(err, fleetsim.WriteSweep(c.Out, runs), fleetsim.PrintSweep(os.Stdout, runs))
}

// controllerBinary returns the path of the controller binary. It builds the binary unless --binary is set.
func (c *cli) controllerBinary(ctx context.Context) (string, error) {
	if c.Binary != "" {
		return c.Binary, nil
	}
	binary := filepath.Join(c.Out, "bitternwing")
	build := exec.CommandContext(ctx, "go", "build", "-o", binary, controllerPackage)
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return "", fmt.Errorf("build %s (use --binary outside the source directory): %w", controllerPackage, err)
	}
	return binary, nil
}

// write writes the result to files, and prints a summary to w.
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
	ctx := kong.Parse(&command, kong.Name("fleetsim"), kong.Description("Simulates a large fleet on one machine, with real controllers and simulated workers."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "fleetsim:", err)
		os.Exit(exitStatus(err))
	}
}

// exitStatus returns the exit status for an error.
func exitStatus(err error) int {
	if errors.Is(err, fleetsim.ErrRuleBroken) {
		return exitRuleBroken
	}
	if errors.Is(err, fleetsim.ErrPromiseBroken) {
		return exitPromiseBroken
	}
	return exitFailure
}
