package core_test

import (
	"strconv"
	"strings"

	"bitternwing/internal/wire"
)

// jobFieldSetters maps the name in a NAME=VALUE word to the function that sets the job's field. The value is also
// passed as a number, 0 if it is none.
var jobFieldSetters = map[string]func(job *wire.Job, value string, number float64){
	"tasks":      func(job *wire.Job, _ string, number float64) { job.Tasks = int(number) },
	"gpus":       func(job *wire.Job, _ string, number float64) { job.GPUs = number },
	"cpus":       func(job *wire.Job, _ string, number float64) { job.CPUs = number },
	"team":       func(job *wire.Job, value string, _ float64) { job.Team = value },
	"class":      func(job *wire.Job, value string, _ float64) { job.Class = value },
	"image":      func(job *wire.Job, value string, _ float64) { job.Image = value },
	"priority":   func(job *wire.Job, value string, _ float64) { job.Priority = wire.Priority(value) },
	"zone":       func(job *wire.Job, value string, _ float64) { job.Zone = value },
	"type":       func(job *wire.Job, value string, _ float64) { job.MachineTypes = []string{value} },
	"depends_on": func(job *wire.Job, value string, _ float64) { job.Dependencies = strings.Split(value, ",") },
	"deadline":   func(job *wire.Job, _ string, number float64) { job.DeadlineS = &number },
	"estimate":   func(job *wire.Job, _ string, number float64) { job.EstimatedRunS = number },
	"spread":     func(job *wire.Job, _ string, _ float64) { job.SpreadZones = true },
	"one_zone":   func(job *wire.Job, _ string, _ float64) { job.SingleZone = true },
	"spot":       func(job *wire.Job, _ string, _ float64) { job.Spot = true },
	"checkpoint_time": func(job *wire.Job, _ string, number float64) {
		job.CheckpointIntervalS, job.CheckpointTimeS = 10, number
	},
	"kind": func(job *wire.Job, value string, _ float64) {
		if value == "service" {
			job.Kind, job.EstimatedRunS = wire.KindService, 0
		}
	},
}

// parseJob parses a job: its ID, then the fields that differ from the defaults, an array of one task.
func (harness *traceHarness) parseJob(words []string) *wire.Job {
	job := &wire.Job{ID: words[0], Class: "c", Team: "red", Kind: wire.KindArray, Priority: "standard", Tasks: 1,
		CPUs: 1, GPUs: 1, MemoryGB: 1, Image: "i", ImageGB: 10, EstimatedRunS: 60}
	for _, word := range words[1:] {
		name, value, _ := strings.Cut(word, "=")
		set := jobFieldSetters[name]
		if set == nil {
			harness.tb.Fatalf("unknown job field: %s", word)
		}
		number, _ := strconv.ParseFloat(value, 64)
		set(job, value, number)
	}
	return job
}

// parseHeartbeat parses a heartbeat: the machine, then the heartbeat's fields and task statuses. Zone and spot default
// to those of the cloud's machine.
func (harness *traceHarness) parseHeartbeat(words []string) *wire.Heartbeat {
	heartbeat := &wire.Heartbeat{Machine: words[0], Type: "g8", Zone: "z1"}
	if machine := harness.machines[heartbeat.Machine]; machine != nil {
		heartbeat.Zone, heartbeat.Spot = machine.Zone, machine.Spot
	}
	for _, word := range words[1:] {
		name, value, _ := strings.Cut(word, "=")
		number, _ := strconv.ParseFloat(value, 64)
		switch name {
		case "incarnation":
			heartbeat.Incarnation = uint64(number)
		case "seq":
			heartbeat.Sequence = uint64(number)
		case "token":
			// TERM, or TERM.COUNT with the count within the term
			term, count, _ := strings.Cut(value, ".")
			termNumber, _ := strconv.ParseUint(term, 10, 64)
			countNumber, _ := strconv.ParseUint(count, 10, 64)
			heartbeat.FencingToken = termNumber*1_000_000 + countNumber
		case "reclaim_notice":
			heartbeat.ReclaimNoticeS = &number
		case "spot":
			heartbeat.Spot = true
		case "zone":
			heartbeat.Zone = value
		case "addr":
			heartbeat.Addr = value
		default:
			task, attemptText, ok := strings.Cut(name, "#")
			attempt, err := strconv.ParseUint(attemptText, 10, 64)
			if !ok || err != nil {
				harness.tb.Fatalf("invalid heartbeat field or task status: %s", word)
			}
			state, cause, _ := strings.Cut(value, ":")
			heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{Task: task, Attempt: attempt, State: wire.TaskState(state), Cause: wire.ExitCause(cause)})
		}
	}
	return heartbeat
}
