// Command bitternwing runs a controller node of the scheduler, and calls controllers for users and operators.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"bitternwing/internal/config"
)

// version is the program's version.
const version = "0.1.0"

// cli are the commands. Kong makes them, their flags and help from the tags.
type cli struct {
	Serve     serveCmd     `cmd:"" default:"withargs" help:"Run a controller node (the default)."`
	Job       jobCmd       `cmd:"" help:"Submit, show and cancel jobs."`
	Rollout   rolloutCmd   `cmd:"" help:"Bring a model's new version into service by steps."`
	Placement placementCmd `cmd:"" help:"Explain the places of a job's replicas."`
	Check     checkCmd     `cmd:"" help:"Check the settings and start nothing."`
	Schema    schemaCmd    `cmd:"" help:"Print the schema of the operators' settings."`
	Version   versionCmd   `cmd:"" help:"Print the version."`
}

type schemaCmd struct{}

// Run prints the schema of the operators' settings.
func (schemaCmd) Run() error {
	_, err := os.Stdout.Write(config.OperatorSchema())
	return err
}

type versionCmd struct{}

// Run prints the version.
func (versionCmd) Run() error {
	fmt.Println("bitternwing", version)
	return nil
}

func main() {
	var commands cli
	ctx := kong.Parse(&commands, kong.Name("bitternwing"),
		kong.Description("A scheduler for fleets that serve language models."))
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "bitternwing:", err)
		os.Exit(exitStatus(err))
	}
}
