package fleetsim

import (
	"fmt"
	"io"
	"text/tabwriter"

	"bitternwing/internal/fleetsim/measure"
	"bitternwing/internal/fleetsim/rolling"
)

// printRollout prints the result of a rollout.
func printRollout(line func(name, format string, args ...any), result *rolling.Result) {
	name := "rollout " + result.Model.Name
	line(name, "%s: %s %s; least served %.2f of the promise at %.1f s, %d samples below it, %.0f extra replica seconds", result.Model.Mode,
		result.Phase, result.Reason, result.MinServed, result.MinServedAtS, result.SamplesBelowPromise, result.ExtraReplicaS)
	if result.Model.Mode != rolling.Replace {
		line(name, "%d requests, %d wrong (%d after detection, over %.1f s), %d lost, %d doubled, %d retried; longest without a status %.1f s",
			result.Requests, result.Wrong, result.WrongAfter, result.WrongForS, result.Lost, result.Doubled, result.Retried, result.MaxWithoutStatusS)
	}
}

// maxPrintedViolations bounds the violations in the table; the page has all.
const maxPrintedViolations = 5

// Print prints a short table of the result.
func (r *Result) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	line := func(name, format string, args ...any) {
		_, _ = fmt.Fprintf(w, "%s\t%s\n", name, fmt.Sprintf(format, args...)) // Flush tells of errors
	}
	times := func(name string, summary measure.Summary) {
		if summary.Count > 0 {
			line(name, "p50 %d ms, p99 %d ms, most %d ms (%d)", summary.P50, summary.P99, summary.Max, summary.Count)
		}
	}
	line("scenario", "%s: %d workers, %d controllers, %.0f s, ended: %s", r.Scenario.Name, r.Workers.Count, r.Scenario.Controllers.Count, r.DurationS, r.Ended)
	line("starts a second", "asked %.1f, reached %.1f, most over 10 s %.1f", r.RequestedPerS, r.StartedPerS, r.PeakStartsPerS)
	line("tasks on machines", "most %d", r.PeakOnMachine)
	line("jobs", "%d submitted, %d accepted, %d refused, %d done, %d cancelled", r.Jobs.Submitted, r.Jobs.Accepted, r.Jobs.Refused, r.Jobs.Done, r.Jobs.Cancelled)
	times("submission", r.SubmitTimes)
	for _, c := range r.Scenario.Classes {
		times("start, "+c.Name, r.StartTimes[c.Name])
	}
	times("urgent jobs whole", r.UrgentTimes)
	for _, f := range r.Failovers {
		line("leader killed", "at %.1f s, next start by another after %.2f s", f.AtS, f.NextStartS)
	}
	line("a worker's traffic", "mean %.1f KB/s, p99 %.1f, most %.1f", r.Workers.Windows.Mean/1000, float64(r.Workers.Windows.P99)/1000, float64(r.Workers.Windows.Max)/1000)
	for i := range r.Rollouts {
		printRollout(line, &r.Rollouts[i])
	}
	if leader := r.Leader(); leader != nil {
		usage := leader.Usage
		line("leader "+leader.Name, "%.3f cores (peak %.3f), %.0f MB, %d open files", usage.Cores, usage.PeakCores, usage.PeakMB, usage.PeakFiles)
	}
	line("broken rules", "%d", len(r.Violations))
	for _, v := range r.Violations[:min(maxPrintedViolations, len(r.Violations))] {
		line("  "+string(v.Rule), "at %.1f s: %s", v.AtS, v.Message)
	}
	return w.Flush()
}
