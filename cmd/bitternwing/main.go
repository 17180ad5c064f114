// Command bitternwing runs a controller node of the scheduler.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"

	"bitternwing/internal/config"
	"bitternwing/internal/node"
	"bitternwing/internal/sizing"
)

// version is the program's version.
const version = "0.1.0"

type cli struct {
	Serve     serveCmd     `cmd:"" default:"withargs" help:"Run a controller node (the default)."`
	Job       jobCmd       `cmd:"" help:"Submit, show and cancel jobs."`
	Rollout   rolloutCmd   `cmd:"" help:"Bring a model's new version into service by steps."`
	Placement placementCmd `cmd:"" help:"Explain the places of a job's replicas."`
	Check     checkCmd     `cmd:"" help:"Check the settings and start nothing."`
	Schema    schemaCmd    `cmd:"" help:"Print the schema of the operators' settings."`
	Version   versionCmd   `cmd:"" help:"Print the version."`
}

type settingsFlags struct {
	Config   string `required:"" placeholder:"FILE" help:"The platform's settings file (TOML)."`
	Operator string `placeholder:"FILE" env:"BITTERNWING_OPERATOR" help:"The operators' own settings (JSON)."`
}

func (f settingsFlags) load() (*config.Settings, error) {
	s, err := config.Load(f.Config)
	if err != nil {
		return nil, err
	}
	if f.Operator != "" {
		if s.Operator, err = config.LoadOperator(f.Operator); err != nil {
			return nil, err
		}
	}
	return s, nil
}

type serveCmd struct{ settingsFlags }

func (c *serveCmd) Run() error {
	s, err := c.load()
	if err != nil {
		return err
	}
	log, err := newLogger()
	if err != nil {
		return err
	}
	limitRuntime(s)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	n, err := node.New(s, log)
	if err != nil {
		return err
	}
	return n.Run(ctx)
}

// limitRuntime keeps the runtime within what the node may use: a share of one core needs
// no more than one processor, and garbage is collected late as long as memory
// allows, since processor time is the scarcer of the two.
func limitRuntime(s *config.Settings) {
	runtime.GOMAXPROCS(max(1, int(s.Params.Limits.CPUShare)))
	debug.SetGCPercent(300)
	debug.SetMemoryLimit(int64(0.6 * s.Params.Limits.MemoryMB * (1 << 20)))
}

// newLogger writes structured lines to standard error, as many as LOG_LEVEL asks for.
func newLogger() (*slog.Logger, error) {
	var level slog.Level
	switch v := os.Getenv("LOG_LEVEL"); v {
	case "error":
		level = slog.LevelError
	case "", "info":
		level = slog.LevelInfo
	case "debug":
		level = slog.LevelDebug
	default:
		return nil, fmt.Errorf("LOG_LEVEL: must be error, info or debug, is %q", v)
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})), nil
}

type checkCmd struct{ settingsFlags }

func (c *checkCmd) Run() error {
	s, err := c.load()
	if err != nil {
		return err
	}
	fmt.Printf("settings are good: node %s, %d peers, %d teams\n", s.Node, len(s.Peers), len(s.Params.Teams))
	for _, short := range sizing.Check(&s.Params, s.Operator.ExpectedMachines) {
		fmt.Printf("warning: for %d machines: %s\n", s.Operator.ExpectedMachines, short)
	}
	return nil
}

type schemaCmd struct{}

func (schemaCmd) Run() error {
	_, err := os.Stdout.Write(config.OperatorSchema())
	return err
}

type versionCmd struct{}

func (versionCmd) Run() error {
	fmt.Println("bitternwing", version)
	return nil
}

func main() {
	var c cli
	ctx := kong.Parse(&c, kong.Name("bitternwing"),
		kong.Description("A scheduler for fleets that serve language models."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "bitternwing:", err)
		os.Exit(exitStatus(err))
	}
}
