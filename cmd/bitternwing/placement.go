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

// errNotPlaced says that nothing of a job is placed.
var errNotPlaced = errors.New("nothing of the job is placed")

// placementCmd are the commands that explain places.
type placementCmd struct {
	Show placementShowCmd `cmd:"" help:"Show where a job's replicas are, and what each place cost."`
}

type placementShowCmd struct {
	controllerFlags
	ID string `arg:"" help:"The job's id."`
}

// Run shows the places of a job.
func (c *placementShowCmd) Run() error {
	if err := checkID(c.ID); err != nil {
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
		err = printPlaces(os.Stdout, reply)
	}
	if err == nil && len(reply.GetReplicas()) == 0 {
		err = errNotPlaced
	}
	return err
}

// printPlaces prints a line for each replica.
func printPlaces(w io.Writer, reply *operatorpb.PlacementReply) error {
	for _, r := range reply.GetReplicas() {
		line := fmt.Sprintf("%s attempt %d: %s in %s", r.GetTask(), r.GetAttempt(), r.GetMachine(), r.GetZone())
		switch {
		case !r.GetChosen():
			line += "; an earlier leader chose it"
		case !r.GetWeighed():
			line += fmt.Sprintf("; the warmest, load %.1f s", r.GetLoadS())
		case r.GetWarmest() == "":
			line += fmt.Sprintf("; load %.1f s, expected loss %.1f s", r.GetLoadS(), r.GetLossS())
		default:
			line += fmt.Sprintf("; load %.1f s, expected loss %.1f s; warmest %s, load %.1f s, which would lose %.1f s more", r.GetLoadS(), r.GetLossS(),
				r.GetWarmest(), r.GetWarmestLoadS(), r.GetAvoidedS())
		}
		if _, err := fmt.Fprintln(w, line); err != nil {
			return err
		}
	}
	return nil
}
