package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"bitternwing/internal/adminapi"
	"bitternwing/internal/adminapi/operatorpb"
)

// errNotPlaced is returned if none of a job's replicas is placed.
var errNotPlaced = errors.New("nothing of the job is placed")

// placementCommands are the commands that explain placements.
type placementCommands struct {
	Show placementShowCmd `cmd:"" help:"Show the machines of a job's replicas and the costs of each placement."`
}

type placementShowCmd struct {
	controllerFlags
	ID string `arg:"" help:"The job's id."`
}

// Run shows the placements of a job.
func (c *placementShowCmd) Run() error {
	if err := validateJobID(c.ID); err != nil {
		return err
	}
	reply, err := callController(&c.controllerFlags, func(ctx context.Context, client *adminapi.Client) (*operatorpb.PlacementReply, error) {
		return client.Placements(ctx, c.ID)
	})
	if err != nil {
		return err
	}
	if c.JSON {
		err = printJSON(os.Stdout, reply)
	} else {
		err = printPlacements(os.Stdout, reply)
	}
	if err == nil && len(reply.GetReplicas()) == 0 {
		err = errNotPlaced
	}
	return err
}

// printPlacements prints a line for each replica, with the costs by which the scheduler chose its machine.
func printPlacements(w io.Writer, reply *operatorpb.PlacementReply) error {
	for _, replica := range reply.GetReplicas() {
		line := fmt.Sprintf("%s attempt %d: %s in %s", replica.GetTask(), replica.GetAttempt(), replica.GetMachine(), replica.GetZone())
		switch {
		case !replica.GetChosen():
			line += "; an earlier leader chose it"
		case !replica.GetWeighed():
			line += fmt.Sprintf("; the warmest, load %.1f s", replica.GetLoadS())
		case replica.GetWarmest() == "":
			line += fmt.Sprintf("; load %.1f s, expected loss %.1f s", replica.GetLoadS(), replica.GetLossS())
		default:
			line += fmt.Sprintf("; load %.1f s, expected loss %.1f s; warmest %s, load %.1f s, which would lose %.1f s more", replica.GetLoadS(), replica.GetLossS(),
				replica.GetWarmest(), replica.GetWarmestLoadS(), replica.GetAvoidedS())
		}
		if _, err := fmt.Fprintln(w, line); err != nil {
			return err
		}
	}
	return nil
}
