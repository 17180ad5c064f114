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

// settingsFlags are the flags for the settings files.
type settingsFlags struct {
	Config   string `required:"" placeholder:"FILE" help:"The platform's settings file (TOML)."`
	Operator string `placeholder:"FILE" env:"BITTERNWING_OPERATOR" help:"The operators' settings file (JSON)."`
}

// loadSettings reads and validates the settings files.
func (f settingsFlags) loadSettings() (*config.Settings, error) {
	settings, err := config.Load(f.Config)
	if err != nil {
		return nil, err
	}
	if f.Operator != "" {
		if settings.Operator, err = config.LoadOperatorSettings(f.Operator); err != nil {
			return nil, err
		}
	}
	return settings, nil
}

type serveCmd struct{ settingsFlags }

// Run runs the node until SIGINT or SIGTERM.
func (c *serveCmd) Run() error {
	settings, err := c.loadSettings()
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

// The garbage collector runs rarely while there is free memory, because CPU time is scarcer than memory. Its soft
// memory limit is below the process's limit, to leave room for memory that the Go runtime does not manage.
const (
	gcPercent        = 300
	memoryLimitShare = 0.6
	bytesPerMB       = 1 << 20
	minProcessors    = 1
)

// limitRuntime keeps the Go runtime within the node's resource limits. One processor is enough for a share of up to one
// core.
func limitRuntime(settings *config.Settings) {
	limits := settings.Params.Limits
	runtime.GOMAXPROCS(max(minProcessors, int(limits.CPUShare)))
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitShare * limits.MemoryMB * bytesPerMB))
}

// newLogger returns a logger that writes structured lines to standard error, at the level that LOG_LEVEL names.
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

// Run validates the settings, and prints a warning for each limit that is too small for the expected fleet size.
func (c *checkCmd) Run() error {
	settings, err := c.loadSettings()
	if err != nil {
		return err
	}
	fmt.Printf("settings are good: node %s, %d peers, %d teams\n", settings.Node, len(settings.Peers), len(settings.Params.Teams))
	machines := settings.Operator.ExpectedMachines
	for _, warning := range sizing.Check(&settings.Params, machines) {
		fmt.Printf("warning: for %d machines: %s\n", machines, warning)
	}
	return nil
}
