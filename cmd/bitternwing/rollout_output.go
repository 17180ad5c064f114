package main

import (
	"fmt"
	"io"

	"bitternwing/internal/adminapi/operatorpb"
)

// printPlan prints the status of a plan: as JSON, or as a summary line with a line for each replica.
func (f *controllerFlags) printPlan(w io.Writer, status *operatorpb.PlanStatus) error {
	if f.JSON {
		return printJSON(w, status)
	}
	if _, err := fmt.Fprintln(w, planSummary(status)); err != nil {
		return err
	}
	for _, replica := range status.GetReplicas() {
		if err := printReplica(w, replica); err != nil {
			return err
		}
	}
	return nil
}

func printReplica(w io.Writer, replica *operatorpb.Replica) error {
	verdict := replica.GetVerdict()
	if replica.GetCheck() != "" {
		verdict += " (" + replica.GetCheck() + ")"
	}
	_, err := fmt.Fprintf(w, "  %s %s attempt %d: %s, %.1f%% of traffic\n", replica.GetVersion(), replica.GetTask(), replica.GetAttempt(),
		verdict, 100*replica.GetShare())
	return err
}

// planSummary returns the status of a plan as one line.
func planSummary(status *operatorpb.PlanStatus) string {
	if status.GetProblem() != "" {
		return fmt.Sprintf("%s: left alone: %s", status.GetName(), status.GetProblem())
	}
	line := fmt.Sprintf("%s: %s, step %d of %d", status.GetName(), status.GetPhase(), status.GetStep(), status.GetSteps())
	if status.GetPaused() {
		line += ", paused"
	}
	if status.GetReason() != "" {
		line += ", " + status.GetReason()
	}
	if status.GetDetail() != "" {
		line += " (" + status.GetDetail() + ")"
	}
	if !status.GetSettled() {
		return line + "; the leader has yet to ask all replicas"
	}
	return line + fmt.Sprintf("; capacity old %g, new %g, promised %g; %.1f%% of traffic to the new version, %d routers", status.GetOldCapacity(),
		status.GetNewCapacity(), status.GetPromisedCapacity(), 100*status.GetNewShare(), len(status.GetRouters()))
}
