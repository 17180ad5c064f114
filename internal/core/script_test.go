package core_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"bitternwing/internal/wire"
)

// scriptRunner configures a simulation by the lines of a script.
type scriptRunner struct {
	tb         testing.TB
	zoneByNode map[string]string // zone of each node
	seed       uint64
	simulation *simulation // nil until the first line that needs it
}

// runScript runs the simulation that a script describes. It returns the simulation at its end, and the rule violations.
func runScript(tb testing.TB, script string) (*simulation, []string) {
	tb.Helper()
	runner := &scriptRunner{tb: tb, zoneByNode: map[string]string{}, seed: 1}
	for _, line := range strings.Split(script, "\n") {
		words := strings.Fields(line)
		if len(words) == 0 || words[0][0] == '#' || words[0] == "|" {
			continue
		}
		runner.handleLine(words)
	}
	runner.simulation.run()
	return runner.simulation, runner.simulation.violations()
}

// handleLine handles a line of a script. Zones and seed have an effect only before all other lines.
func (r *scriptRunner) handleLine(words []string) {
	switch words[0] {
	case "zones":
		for _, word := range words[1:] {
			node, zone, _ := strings.Cut(word, "=")
			r.zoneByNode[node] = zone
		}
		return
	case "seed":
		r.seed, _ = strconv.ParseUint(words[1], 10, 64)
		return
	}
	if r.simulation == nil {
		r.simulation = newSimulation(r.tb, r.seed, r.zoneByNode)
	}
	r.configure(words)
}

// configure handles a line that configures the simulation, or schedules an event.
func (r *scriptRunner) configure(words []string) {
	switch words[0] {
	case "old_version", "upcoming_limits", "immediate_responses":
		r.simulation.restartNodes(words)
	case "machines":
		for i, word := range words[1:] {
			zone, spot := strings.CutSuffix(word, "-spot")
			r.simulation.addMachine(zone, spot, time.Duration(100*i)*time.Millisecond)
		}
	case "machines_per_zone":
		machines, err := strconv.Atoi(words[1])
		if err != nil {
			r.tb.Fatalf("invalid number: %s", words[1])
		}
		r.simulation.machinesPerZone = machines
	case "faults_end":
		r.simulation.faultsEnd = parseSeconds(r.tb, words[1])
	case "end":
		r.simulation.end = parseSeconds(r.tb, words[1])
	default:
		r.simulation.scheduleLine(parseSeconds(r.tb, words[0]), words[1:])
	}
}

// restartNodes restarts the nodes, with the old version or with other settings.
func (s *simulation) restartNodes(words []string) {
	s.immediateResponses = s.immediateResponses || words[0] == "immediate_responses"
	if words[0] == "upcoming_limits" {
		s.params.Store.Next = parseUpcomingLimits(s.tb, words[1:])
	}
	for _, node := range s.nodes {
		node.oldVersion = node.oldVersion || words[0] == "old_version"
		s.killNode(node)
		s.startNode(node)
	}
}

// parseSeconds parses a duration in seconds.
func parseSeconds(tb testing.TB, text string) time.Duration {
	tb.Helper()
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		tb.Fatalf("invalid number: %s", text)
	}
	return time.Duration(seconds * float64(time.Second))
}

// scheduleLine schedules the event that a line of a script names: a request of a user, or a fault.
func (s *simulation) scheduleLine(at time.Duration, words []string) {
	switch words[0] {
	case "submit":
		job := s.parseJob(words[1:])
		job.submitAt = at
		s.jobs = append(s.jobs, job)
		s.at(at, func() { s.submitJob(job) })
	case "submit_everywhere", "submit_everywhere_and_cancel":
		job := s.parseJob(words[1:])
		job.submitAt = at
		s.jobs = append(s.jobs, job)
		s.at(at, func() { s.submitEverywhere(job, words[0] == "submit_everywhere_and_cancel") })
	case "cancel":
		job := s.submittedJob(words[1])
		s.at(at, func() { s.cancelJob(job) })
	case "cancel_on_completion":
		job := s.submittedJob(words[1])
		job.cancelAt = -1
		s.at(at, func() { s.cancelAndResubmitOnceComplete(job) })
	default:
		s.at(at, func() { s.inject(fault{s, words}) })
	}
}

// submittedJob returns the job that an earlier line of the script submits.
func (s *simulation) submittedJob(id string) *simulatedJob {
	for _, job := range s.jobs {
		if job.spec.ID == id {
			return job
		}
	}
	s.tb.Fatalf("no earlier line submits job %s", id)
	return nil
}

// cancelAndResubmitOnceComplete cancels a job and submits it again as soon as all its tasks have completed.
func (s *simulation) cancelAndResubmitOnceComplete(job *simulatedJob) {
	completed := 0
	for i := range job.spec.Tasks {
		if s.completedTasks[wire.TaskName(job.spec.ID, i)] {
			completed++
		}
	}
	if completed < job.spec.Tasks {
		s.after(10*time.Millisecond, func() { s.cancelAndResubmitOnceComplete(job) })
		return
	}
	s.cancelJob(job)
	s.submitJob(job)
}

// parseJob parses a job as in traces, with the run time of its tasks and whether they fail.
func (s *simulation) parseJob(words []string) *simulatedJob {
	job := &simulatedJob{runSeconds: 20}
	jobWords, team := []string{words[0]}, "green"
	for _, word := range words[1:] {
		name, value, _ := strings.Cut(word, "=")
		switch name {
		case "run":
			job.runSeconds = parseSeconds(s.tb, value).Seconds()
		case "faulty":
			job.faulty = true
		case "team":
			team = value
		default:
			jobWords = append(jobWords, word)
		}
	}
	job.spec = (&traceHarness{tb: s.tb}).parseJob(append(jobWords, "team="+team))
	if job.spec.Kind == wire.KindArray {
		job.spec.EstimatedRunS = job.runSeconds
	}
	return job
}
