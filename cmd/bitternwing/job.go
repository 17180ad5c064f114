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

// jobCmd are the commands of users for their jobs.
type jobCmd struct {
	Submit submitCmd `cmd:"" help:"Submit a job from a file in the protocol's form (- for standard input)."`
	Show   showCmd   `cmd:"" help:"Show a job's state."`
	Cancel cancelCmd `cmd:"" help:"Cancel a job, and all jobs that need it."`
}

// serverFlags name the server.
type serverFlags struct {
	Server string `required:"" placeholder:"HOST:PORT" env:"BITTERNWING_SERVER" help:"Address of a controller, or of the load balancer before them."`
	responseFlags
}

// responseFlags say how long to wait for a response, and how to print it.
type responseFlags struct {
	Wait time.Duration `default:"60s" help:"How long to go on asking while no answer can be had."`
	JSON bool          `name:"json" help:"Print the answer as JSON."`
}

// run makes a request, and prints the response with the dependencies of a submitted job.
func (f *serverFlags) run(dependencies []string, request func(context.Context, *apiclient.Client) (wire.JobResponse, error)) error {
	ctx, cancel := context.WithTimeout(context.Background(), f.Wait)
	defer cancel()
	state, err := request(ctx, apiclient.New(f.Server))
	if err != nil {
		return err
	}
	return f.print(os.Stdout, state, dependencies)
}

func (f *serverFlags) print(w io.Writer, state wire.JobResponse, dependencies []string) error {
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

type submitCmd struct {
	serverFlags
	File string `arg:"" help:"The job, as JSON."`
}

// Run submits a job. A file that is malformed is not sent.
func (c *submitCmd) Run() error {
	body, err := readInput(c.File)
	if err != nil {
		return err
	}
	job, err := wire.ParseJob(body)
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	return c.run(job.Dependencies, func(ctx context.Context, client *apiclient.Client) (wire.JobResponse, error) {
		return client.Submit(ctx, body)
	})
}

type showCmd struct {
	serverFlags
	ID string `arg:"" help:"The job's id."`
}

// Run shows a job.
func (c *showCmd) Run() error {
	if err := checkID(c.ID); err != nil {
		return err
	}
	return c.run(nil, func(ctx context.Context, client *apiclient.Client) (wire.JobResponse, error) {
		return client.Show(ctx, c.ID)
	})
}

type cancelCmd struct {
	serverFlags
	ID string `arg:"" help:"The job's id."`
}

// Run cancels a job.
func (c *cancelCmd) Run() error {
	if err := checkID(c.ID); err != nil {
		return err
	}
	return c.run(nil, func(ctx context.Context, client *apiclient.Client) (wire.JobResponse, error) {
		return client.Cancel(ctx, c.ID)
	})
}

// checkID checks the form of a job id.
func checkID(id string) error {
	if !wire.ValidJobID(id) {
		return fmt.Errorf("%q is no job id (run- and six to twenty digits)", id)
	}
	return nil
}
