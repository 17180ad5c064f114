// Command bitternwing runs a controller node of the scheduler. It is also the command line client for users and
// operators.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"bitternwing/internal/config"
)

const version = "0.1.0"

// commandLine holds the commands. Kong derives the commands, their flags and their help texts from the struct tags.
type commandLine struct {
	Serve     serveCmd          `cmd:"" default:"withargs" help:"Run a controller node (the default)."`
	Job       jobCommands       `cmd:"" help:"Submit, show and cancel jobs."`
	Rollout   rolloutCommands   `cmd:"" help:"Manage stepwise rollouts of a model's new version."`
	Placement placementCommands `cmd:"" help:"Explain the placements of a job's replicas."`
	Check     checkCmd          `cmd:"" help:"Validate the settings without starting a node."`
	Schema    schemaCmd         `cmd:"" help:"Print the JSON schema of the operator settings."`
	Version   versionCmd        `cmd:"" help:"Print the version."`
}

type schemaCmd struct{}

// Run prints the JSON schema of the operator settings.
func (schemaCmd) Run() error {
	_, err := os.Stdout.Write(config.OperatorSettingsSchema())
	return err
}

type versionCmd struct{}

// Run prints the version.
func (versionCmd) Run() error {
	fmt.Println("bitternwing", version)
	return nil
}

func main() {
	var commands commandLine
	ctx := kong.Parse(&commands, kong.Name("bitternwing"),
		kong.Description("A scheduler for fleets that serve language models."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "bitternwing:", err)
		os.Exit(exitStatus(err))
	}
}
