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

	"bitternwing/internal/config"
	"bitternwing/internal/node"
	"bitternwing/internal/sizing"
)

// settingsFlags name the settings files.
type settingsFlags struct {
	Config   string `required:"" placeholder:"FILE" help:"The platform's settings file (TOML)."`
	Operator string `placeholder:"FILE" env:"BITTERNWING_OPERATOR" help:"The operators' own settings (JSON)."`
}

// load reads and validates the settings.
func (f settingsFlags) load() (*config.Settings, error) {
	settings, err := config.Load(f.Config)
	if err != nil {
		return nil, err
	}
	if f.Operator != "" {
		if settings.Operator, err = config.LoadOperator(f.Operator); err != nil {
			return nil, err
		}
	}
	return settings, nil
}

type serveCmd struct{ settingsFlags }

// Run serves until a signal ends it.
func (c *serveCmd) Run() error {
	settings, err := c.load()
	if err != nil {
		return err
	}
	log, err := newLogger()
	if err != nil {
		return err
	}
	limitRuntime(settings)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	n, err := node.New(settings, log)
	if err != nil {
		return err
	}
	return n.Run(ctx)
}

// The garbage collector runs late as long as memory allows: processor time is scarcer. The memory that it aims to stay below
// leaves room for what is not on the heap.
const (
	garbagePercent    = 300
	memoryLimitShare  = 0.6
	bytesPerMB        = 1 << 20
	minProcessorCount = 1
)

// limitRuntime keeps the runtime within what the node may use: a share of one core needs no more than one processor.
func limitRuntime(settings *config.Settings) {
	limits := settings.Params.Limits
	runtime.GOMAXPROCS(max(minProcessorCount, int(limits.CPUShare)))
	debug.SetGCPercent(garbagePercent)
	debug.SetMemoryLimit(int64(memoryLimitShare * limits.MemoryMB * bytesPerMB))
}

// newLogger makes a logger of structured lines to standard error, at the level of LOG_LEVEL.
func newLogger() (*slog.Logger, error) {
	var level slog.Level
	switch name := os.Getenv("LOG_LEVEL"); name {
	case "error":
		level = slog.LevelError
	case "", "info":
		level = slog.LevelInfo
	case "debug":
		level = slog.LevelDebug
	default:
		return nil, fmt.Errorf("LOG_LEVEL: must be error, info or debug, is %q", name)
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})), nil
}

type checkCmd struct{ settingsFlags }

// Run validates the settings, and warns of limits that are too small for the expected fleet.
func (c *checkCmd) Run() error {
	settings, err := c.load()
	if err != nil {
		return err
	}
	fmt.Printf("settings are good: node %s, %d peers, %d teams\n", settings.Node, len(settings.Peers), len(settings.Params.Teams))
	machines := settings.Operator.ExpectedMachines
	for _, shortage := range sizing.Check(&settings.Params, machines) {
		fmt.Printf("warning: for %d machines: %s\n", machines, shortage)
	}
	return nil
}
