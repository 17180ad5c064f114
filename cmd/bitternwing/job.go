package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"bitternwing/internal/apiclient"
	"bitternwing/internal/wire"
)

// jobCommands are the commands for users' jobs.
type jobCommands struct {
	Submit jobSubmitCmd `cmd:"" help:"Submit a job from a JSON file."`
	Show   jobShowCmd   `cmd:"" help:"Show a job's state."`
	Cancel jobCancelCmd `cmd:"" help:"Cancel a job and all jobs that depend on it."`
}

// serverFlags are the flags of the commands that call the public API.
type serverFlags struct {
	Server string `required:"" placeholder:"HOST:PORT" env:"BITTERNWING_SERVER" help:"Public address of a controller or of a load balancer for controllers."`
	responseFlags
}

// responseFlags are the flags for waiting for a response and printing it.
type responseFlags struct {
	Wait time.Duration `default:"60s" help:"How long to retry while no controller can serve the request."`
	JSON bool          `name:"json" help:"Print the response as JSON."`
}

// callAndPrint sends a request, and prints the returned job state and the dependencies of a submitted job.
func (f *serverFlags) callAndPrint(dependencies []string, request func(context.Context, *apiclient.Client) (wire.JobResponse, error)) error {
	ctx, cancel := context.WithTimeout(context.Background(), f.Wait)
	defer cancel()
	state, err := request(ctx, apiclient.New(f.Server))
	if err != nil {
		return err
	}
	return f.printJob(os.Stdout, state, dependencies)
}

func (f *serverFlags) printJob(w io.Writer, state wire.JobResponse, dependencies []string) error {
	if f.JSON {
		return json.NewEncoder(w).Encode(state)
	}
	line := fmt.Sprintf("%s: %s", state.ID, state.Status)
	if state.Done != nil && state.Running != nil {
		line += fmt.Sprintf(", %d tasks running, %d done", *state.Running, *state.Done)
	}
	if _, err := fmt.Fprintln(w, line); err != nil {
		return err
	}
	for _, id := range dependencies {
		if _, err := fmt.Fprintln(w, "  needs", id); err != nil {
			return err
		}
	}
	return nil
}

type jobSubmitCmd struct {
	serverFlags
	File string `arg:"" help:"File with the job (JSON, - for standard input)."`
}

// Run submits a job. It validates the file before sending it.
func (c *jobSubmitCmd) Run() error {
	data, err := readInput(c.File)
	if err != nil {
		return err
	}
	job, err := wire.ParseJob(data)
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	return c.callAndPrint(job.Dependencies, func(ctx context.Context, client *apiclient.Client) (wire.JobResponse, error) {
		return client.Submit(ctx, data)
	})
}

type jobShowCmd struct {
	serverFlags
	ID string `arg:"" help:"The job's id."`
}

// Run shows the state of a job.
func (c *jobShowCmd) Run() error {
	if err := validateJobID(c.ID); err != nil {
		return err
	}
	return c.callAndPrint(nil, func(ctx context.Context, client *apiclient.Client) (wire.JobResponse, error) {
		return client.Show(ctx, c.ID)
	})
}

type jobCancelCmd struct {
	serverFlags
	ID string `arg:"" help:"The job's id."`
}

// Run cancels a job.
func (c *jobCancelCmd) Run() error {
	if err := validateJobID(c.ID); err != nil {
		return err
	}
	return c.callAndPrint(nil, func(ctx context.Context, client *apiclient.Client) (wire.JobResponse, error) {
		return client.Cancel(ctx, c.ID)
	})
}

// validateJobID checks that a job ID has the protocol's format.
func validateJobID(id string) error {
	if !wire.ValidJobID(id) {
		return fmt.Errorf("%q is no job id (run- and six to twenty digits)", id)
	}
	return nil
}
