package fleetsim

import (
	"fmt"
	"io"
	"text/tabwriter"

	"bitternwing/internal/fleetsim/measure"
	"bitternwing/internal/fleetsim/rolling"
	"bitternwing/internal/simworker"
)

// printRollout prints the lines of a rollout.
func printRollout(printLine func(name, format string, args ...any), result *rolling.Result) {
	name := "rollout " + result.Model.Name
	printLine(name, "%s: %s %s; minimum served %.2f of promised capacity at %.1f s, %d samples below it, %.0f extra replica seconds", result.Model.Mode,
		result.Phase, result.Reason, result.MinServed, result.MinServedAtS, result.SamplesBelowPromise, result.ExtraReplicaS)
	if result.Model.Mode != rolling.Replace {
		printLine(name, "%d requests, %d wrong (%d after rollback, over %.1f s), %d lost, %d mismatched, %d retried; longest without status %.1f s",
			result.Requests, result.Wrong, result.WrongAfter, result.WrongForS, result.Lost, result.Doubled, result.Retried, result.MaxWithoutStatusS)
	}
}

// maxPrintedViolations is the maximum number of violations in the table. The page lists all.
const maxPrintedViolations = 5

// Print prints a summary table of the result.
func (r *Result) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	printLine := func(name, format string, args ...any) {
		_, _ = fmt.Fprintf(w, "%s\t%s\n", name, fmt.Sprintf(format, args...)) // Flush returns the error
	}
	printTimes := func(name string, summary measure.Summary) {
		if summary.Count > 0 {
			printLine(name, "p50 %d ms, p99 %d ms, max %d ms (count %d)", summary.P50, summary.P99, summary.Max, summary.Count)
		}
	}
	printLine("scenario", "%s: %d workers, %d controllers, %.0f s, ended: %s", r.Scenario.Name, r.Workers.Count, r.Scenario.Controllers.Count, r.DurationS, r.Ended)
	printLine("starts per second", "requested %.1f, achieved %.1f, peak over 10 s %.1f", r.RequestedPerS, r.StartedPerS, r.PeakStartsPerS)
	printLine("tasks on machines", "peak %d", r.PeakOnMachine)
	printLine("jobs", "%d submitted, %d accepted, %d refused, %d done, %d cancelled", r.Jobs.Submitted, r.Jobs.Accepted, r.Jobs.Refused, r.Jobs.Done, r.Jobs.Cancelled)
	printTimes("submission", r.SubmitTimes)
	for _, c := range r.Scenario.Classes {
		printTimes("start, "+c.Name, r.StartTimes[c.Name])
	}
	printTimes("urgent jobs, all tasks started", r.UrgentTimes)
	for _, f := range r.Failovers {
		printLine("leader killed", "at %.1f s, first start by a new leader after %.2f s", f.AtS, f.NextStartS)
	}
	printLine("traffic per worker", "mean %.1f KB/s, p99 %.1f, max %.1f", r.Workers.Windows.Mean/1000, float64(r.Workers.Windows.P99)/1000, float64(r.Workers.Windows.Max)/1000)
	for i := range r.Rollouts {
		printRollout(printLine, &r.Rollouts[i])
	}
	if leader := r.LongestLeader(); leader != nil {
		usage := leader.Usage
		printLine("leader "+leader.Name, "%.3f cores (peak %.3f), %.0f MB, %d open files", usage.Cores, usage.PeakCores, usage.PeakMB, usage.PeakFiles)
	}
	if copies := r.Copies; copies != (simworker.CopyCounts{}) {
		printLine("copies of commands", "%d refused, %d without effect, %d started a task", copies.Refused, copies.NoEffect, copies.Started)
	}
	printLine("rule violations", "%d", len(r.Violations))
	for _, v := range r.Violations[:min(maxPrintedViolations, len(r.Violations))] {
		printLine("  "+string(v.Rule), "at %.1f s: %s", v.AtS, v.Message)
	}
	return w.Flush()
}
