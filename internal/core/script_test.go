package core_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"bitternwing/internal/wire"
)

// scriptPlayer reads the lines of a script in order and sets a simulation up as they say.
type scriptPlayer struct {
	tb         testing.TB
	zones      map[string]string // of nodes
	seed       uint64
	simulation *simulation // nil until the first line that needs it
}

// playDay plays a script. It returns the simulation as it is in the end, and the rules that were broken.
func playDay(tb testing.TB, script string) (*simulation, []string) {
	tb.Helper()
	player := &scriptPlayer{tb: tb, zones: map[string]string{}, seed: 1}
	for _, line := range strings.Split(script, "\n") {
		words := strings.Fields(line)
		if len(words) == 0 || words[0][0] == '#' || words[0] == "|" {
			continue
		}
		player.read(words)
	}
	player.simulation.run()
	return player.simulation, player.simulation.violations()
}

// read takes a line of a script. Zones and seed are in effect only before all other lines.
func (p *scriptPlayer) read(words []string) {
	switch words[0] {
	case "zones":
		for _, word := range words[1:] {
			node, zone, _ := strings.Cut(word, "=")
			p.zones[node] = zone
		}
		return
	case "seed":
		p.seed, _ = strconv.ParseUint(words[1], 10, 64)
		return
	}
	if p.simulation == nil {
		p.simulation = newSimulation(p.tb, p.seed, p.zones)
	}
	p.configure(words)
}

// configure takes a line that sets the simulation up, or plans what happens at a time.
func (p *scriptPlayer) configure(words []string) {
	switch words[0] {
	case "old", "next":
		p.simulation.prepare(words)
	case "machines":
		for i, word := range words[1:] {
			zone, spot := strings.CutSuffix(word, "-spot")
			p.simulation.addMachine(zone, spot, time.Duration(100*i)*time.Millisecond)
		}
	case "room":
		machines, err := strconv.Atoi(words[1])
		if err != nil {
			p.tb.Fatalf("not a number: %s", words[1])
		}
		p.simulation.machinesPerZone = machines
	case "calm":
		p.simulation.faultsEnd = parseSeconds(p.tb, words[1])
	case "end":
		p.simulation.end = parseSeconds(p.tb, words[1])
	default:
		p.simulation.plan(parseSeconds(p.tb, words[0]), words[1:])
	}
}

// prepare begins the day with nodes of the old version, or with limits to come in the settings.
func (s *simulation) prepare(words []string) {
	if words[0] == "next" {
		s.params.Store.Next = nextLimits(s.tb, words[1:])
	}
	for _, node := range s.nodes {
		node.oldVersion = node.oldVersion || words[0] == "old"
		s.killNode(node)
		s.startNode(node)
	}
}

func parseSeconds(tb testing.TB, text string) time.Duration {
	tb.Helper()
	x, err := strconv.ParseFloat(text, 64)
	if err != nil {
		tb.Fatalf("not a number: %s", text)
	}
	return time.Duration(x * float64(time.Second))
}

// plan takes a line of a script that says what happens at a time.
func (s *simulation) plan(at time.Duration, words []string) {
	switch words[0] {
	case "submit":
		job := s.newJob(words[1:])
		job.submitAt = at
		s.jobs = append(s.jobs, job)
		s.at(at, func() { s.submitJob(job) })
	case "cancel":
		job := s.plannedJob(words[1])
		s.at(at, func() { s.cancelJob(job) })
	case "cancel_at_end":
		job := s.plannedJob(words[1])
		job.cancelAt = -1
		s.at(at, func() { s.cancelOnceComplete(job) })
	default:
		s.at(at, func() { s.inject(fault{s, words}) })
	}
}

// plannedJob gives the job that an earlier line of the script submits.
func (s *simulation) plannedJob(id string) *simulatedJob {
	for _, job := range s.jobs {
		if job.spec.ID == id {
			return job
		}
	}
	s.tb.Fatalf("no job %s", id)
	return nil
}

// cancelOnceComplete cancels a job, and submits it again, as soon as its last task has completed.
func (s *simulation) cancelOnceComplete(job *simulatedJob) {
	completed := 0
	for i := range job.spec.Tasks {
		if s.completedTasks[wire.TaskName(job.spec.ID, i)] {
			completed++
		}
	}
	if completed < job.spec.Tasks {
		s.after(10*time.Millisecond, func() { s.cancelOnceComplete(job) })
		return
	}
	s.cancelJob(job)
	s.submitJob(job)
}

// newJob takes a job as in the other traces, and what the world has to know of it.
func (s *simulation) newJob(words []string) *simulatedJob {
	job := &simulatedJob{runSeconds: 20}
	plain, team := []string{words[0]}, "green"
	for _, kv := range words[1:] {
		k, v, _ := strings.Cut(kv, "=")
		switch k {
		case "run":
			job.runSeconds = parseSeconds(s.tb, v).Seconds()
		case "faulty":
			job.faulty = true
		case "team":
			team = v
		default:
			plain = append(plain, kv)
		}
	}
	job.spec = (&traceHarness{tb: s.tb}).job(append(plain, "team="+team))
	if job.spec.Kind == wire.KindArray {
		job.spec.EstimatedRunS = job.runSeconds
	}
	return job
}
