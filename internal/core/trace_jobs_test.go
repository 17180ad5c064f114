package core_test

import (
	"strconv"
	"strings"

	"bitternwing/internal/wire"
)

// jobWords set a field of a job to the value of a word in a trace; number is the value as a number.
var jobWords = map[string]func(job *wire.Job, value string, number float64){
	"tasks":    func(job *wire.Job, _ string, number float64) { job.Tasks = int(number) },
	"gpus":     func(job *wire.Job, _ string, number float64) { job.GPUs = number },
	"cpus":     func(job *wire.Job, _ string, number float64) { job.CPUs = number },
	"team":     func(job *wire.Job, value string, _ float64) { job.Team = value },
	"class":    func(job *wire.Job, value string, _ float64) { job.Class = value },
	"image":    func(job *wire.Job, value string, _ float64) { job.Image = value },
	"priority": func(job *wire.Job, value string, _ float64) { job.Priority = wire.Priority(value) },
	"zone":     func(job *wire.Job, value string, _ float64) { job.Zone = value },
	"type":     func(job *wire.Job, value string, _ float64) { job.MachineTypes = []string{value} },
	"needs":    func(job *wire.Job, value string, _ float64) { job.Dependencies = strings.Split(value, ",") },
	"deadline": func(job *wire.Job, _ string, number float64) { job.DeadlineS = &number },
	"estimate": func(job *wire.Job, _ string, number float64) { job.EstimatedRunS = number },
	"spread":   func(job *wire.Job, _ string, _ float64) { job.SpreadZones = true },
	"one_zone": func(job *wire.Job, _ string, _ float64) { job.SingleZone = true },
	"spot":     func(job *wire.Job, _ string, _ float64) { job.Spot = true },
	"save": func(job *wire.Job, _ string, number float64) {
		job.CheckpointIntervalS, job.CheckpointTimeS = 10, number
	},
	"kind": func(job *wire.Job, value string, _ float64) {
		if value == "service" {
			job.Kind, job.EstimatedRunS = wire.KindService, 0
		}
	},
}

// job reads a job: its ID and the words that differ from an array of one task.
func (harness *traceHarness) job(words []string) *wire.Job {
	j := &wire.Job{ID: words[0], Class: "c", Team: "red", Kind: wire.KindArray, Priority: "standard", Tasks: 1,
		CPUs: 1, GPUs: 1, MemoryGB: 1, Image: "i", ImageGB: 10, EstimatedRunS: 60}
	for _, word := range words[1:] {
		name, value, _ := strings.Cut(word, "=")
		set := jobWords[name]
		if set == nil {
			harness.tb.Fatalf("unknown: %s", word)
		}
		number, _ := strconv.ParseFloat(value, 64)
		set(j, value, number)
	}
	return j
}

// heartbeat reads a heartbeat.
func (harness *traceHarness) heartbeat(words []string) *wire.Heartbeat {
	r := &wire.Heartbeat{Machine: words[0], Type: "g8", Zone: "z1"}
	if machine := harness.machines[r.Machine]; machine != nil {
		r.Zone, r.Spot = machine.Zone, machine.Spot
	}
	for _, kv := range words[1:] {
		k, v, _ := strings.Cut(kv, "=")
		num, _ := strconv.ParseFloat(v, 64)
		switch k {
		case "session":
			r.Incarnation = uint64(num)
		case "seq":
			r.Sequence = uint64(num)
		case "token":
			// term, or term.count within the term
			term, count, _ := strings.Cut(v, ".")
			a, _ := strconv.ParseUint(term, 10, 64)
			b, _ := strconv.ParseUint(count, 10, 64)
			r.FencingToken = a*1_000_000 + b
		case "notice":
			r.ReclaimNoticeS = &num
		case "spot":
			r.Spot = true
		case "zone":
			r.Zone = v
		case "addr":
			r.Addr = v
		default:
			task, att, ok := strings.Cut(k, "#")
			a, err := strconv.ParseUint(att, 10, 64)
			if !ok || err != nil {
				harness.tb.Fatalf("unknown: %s", kv)
			}
			state, why, _ := strings.Cut(v, ":")
			r.Tasks = append(r.Tasks, wire.TaskStatus{Task: task, Attempt: a, State: wire.TaskState(state), Cause: wire.ExitCause(why)})
		}
	}
	return r
}
