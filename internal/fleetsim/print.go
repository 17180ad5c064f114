package fleetsim

import (
	"fmt"
	"io"
	"text/tabwriter"

	"bitternwing/internal/fleetsim/measure"
	"bitternwing/internal/fleetsim/rolling"
)

// printRollout writes what a rollout came to.
func printRollout(line func(name, format string, args ...any), r *rolling.Result) {
	name := "rollout " + r.Model.Name
	line(name, "%s: %s %s; least served %.2f of the promise at %.1f s, %d samples below it, %.0f extra replica seconds", r.Model.Mode,
		r.Phase, r.Reason, r.MinServed, r.MinServedAtS, r.SamplesBelowPromise, r.ExtraReplicaS)
	if r.Model.Mode != rolling.Replace {
		line(name, "%d requests, %d wrong (%d after detection, over %.1f s), %d lost, %d doubled, %d retried; longest without a status %.1f s",
			r.Requests, r.Wrong, r.WrongAfter, r.WrongForS, r.Lost, r.Doubled, r.Retried, r.MaxWithoutStatusS)
	}
}

// Print writes a short table of the result.
func (res *Result) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	line := func(name, format string, args ...any) {
		_, _ = fmt.Fprintf(w, "%s\t%s\n", name, fmt.Sprintf(format, args...)) // Flush tells of errors
	}
	times := func(name string, s measure.Summary) {
		if s.Count > 0 {
			line(name, "p50 %d ms, p99 %d ms, most %d ms (%d)", s.P50, s.P99, s.Max, s.Count)
		}
	}
	line("scenario", "%s: %d workers, %d controllers, %.0f s, ended: %s", res.Scenario.Name, res.Workers.Count, res.Scenario.Controllers.Count, res.DurationS, res.Ended)
	line("starts a second", "asked %.1f, reached %.1f, most over 10 s %.1f", res.RequestedPerS, res.StartedPerS, res.PeakStartsPerS)
	line("tasks on machines", "most %d", res.PeakOnMachine)
	line("jobs", "%d submitted, %d accepted, %d refused, %d done, %d cancelled", res.Jobs.Submitted, res.Jobs.Accepted, res.Jobs.Refused, res.Jobs.Done, res.Jobs.Cancelled)
	times("submission", res.SubmitTimes)
	for _, c := range res.Scenario.Classes {
		times("start, "+c.Name, res.StartTimes[c.Name])
	}
	times("urgent jobs whole", res.UrgentTimes)
	for _, f := range res.Failovers {
		line("leader killed", "at %.1f s, next start by another after %.2f s", f.AtS, f.NextStartS)
	}
	line("a worker's traffic", "mean %.1f KB/s, p99 %.1f, most %.1f", res.Workers.Windows.Mean/1000, float64(res.Workers.Windows.P99)/1000, float64(res.Workers.Windows.Max)/1000)
	for i := range res.Rollouts {
		printRollout(line, &res.Rollouts[i])
	}
	if l := res.Leader(); l != nil {
		line("leader "+l.Name, "%.3f cores (peak %.3f), %.0f MB, %d open files", l.Usage.Cores, l.Usage.PeakCores, l.Usage.PeakMB, l.Usage.PeakFiles)
	}
	line("broken rules", "%d", len(res.Violations))
	for _, v := range res.Violations[:min(5, len(res.Violations))] {
		line("  "+string(v.Rule), "at %.1f s: %s", v.AtS, v.Message)
	}
	return w.Flush()
}
