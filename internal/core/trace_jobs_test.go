package core_test

import (
	"strconv"
	"strings"

	"bitternwing/internal/wire"
)

// jobWords set a field of a job to the value of a word in a trace; number is the value as a number.
var jobWords = map[string]func(j *wire.Job, value string, number float64){
	"tasks":    func(j *wire.Job, _ string, number float64) { j.Tasks = int(number) },
	"gpus":     func(j *wire.Job, _ string, number float64) { j.GPUs = number },
	"cpus":     func(j *wire.Job, _ string, number float64) { j.CPUs = number },
	"team":     func(j *wire.Job, value string, _ float64) { j.Team = value },
	"class":    func(j *wire.Job, value string, _ float64) { j.Class = value },
	"image":    func(j *wire.Job, value string, _ float64) { j.Image = value },
	"priority": func(j *wire.Job, value string, _ float64) { j.Priority = wire.Priority(value) },
	"zone":     func(j *wire.Job, value string, _ float64) { j.Zone = value },
	"type":     func(j *wire.Job, value string, _ float64) { j.MachineTypes = []string{value} },
	"needs":    func(j *wire.Job, value string, _ float64) { j.Dependencies = strings.Split(value, ",") },
	"deadline": func(j *wire.Job, _ string, number float64) { j.DeadlineS = &number },
	"estimate": func(j *wire.Job, _ string, number float64) { j.EstimatedRunS = number },
	"spread":   func(j *wire.Job, _ string, _ float64) { j.SpreadZones = true },
	"one_zone": func(j *wire.Job, _ string, _ float64) { j.SingleZone = true },
	"spot":     func(j *wire.Job, _ string, _ float64) { j.Spot = true },
	"save":     func(j *wire.Job, _ string, number float64) { j.CheckpointIntervalS, j.CheckpointTimeS = 10, number },
	"kind": func(j *wire.Job, value string, _ float64) {
		if value == "service" {
			j.Kind, j.EstimatedRunS = wire.KindService, 0
		}
	},
}

// job reads a job: its ID and the words that differ from an array of one task.
func (w *traceHarness) job(f []string) *wire.Job {
	j := &wire.Job{ID: f[0], Class: "c", Team: "red", Kind: wire.KindArray, Priority: "standard", Tasks: 1,
		CPUs: 1, GPUs: 1, MemoryGB: 1, Image: "i", ImageGB: 10, EstimatedRunS: 60}
	for _, word := range f[1:] {
		name, value, _ := strings.Cut(word, "=")
		set := jobWords[name]
		if set == nil {
			w.t.Fatalf("unknown: %s", word)
		}
		number, _ := strconv.ParseFloat(value, 64)
		set(j, value, number)
	}
	return j
}

// report reads a heartbeat.
func (w *traceHarness) report(f []string) *wire.Heartbeat {
	r := &wire.Heartbeat{Machine: f[0], Type: "g8", Zone: "z1"}
	if m := w.machines[r.Machine]; m != nil {
		r.Zone, r.Spot = m.Zone, m.Spot
	}
	for _, kv := range f[1:] {
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
				w.t.Fatalf("unknown: %s", kv)
			}
			state, why, _ := strings.Cut(v, ":")
			r.Tasks = append(r.Tasks, wire.TaskStatus{Task: task, Attempt: a, State: wire.TaskState(state), Cause: wire.ExitCause(why)})
		}
	}
	return r
}
