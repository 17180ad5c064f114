// Package rolling simulates rollouts of models in a fleet simulation: an owner who applies a plan with the command and submits
// the jobs, routers with load, and model servers that respond. It measures what users see of it, and decides nothing about
// the rollout: that is for the controllers.
package rolling

import (
	"encoding/json"
	"fmt"

	"bitternwing/internal/fleetsim/load"
	"bitternwing/internal/rollout"
	"bitternwing/internal/wire"
)

// Mode is how a model's new version is brought into service.
type Mode string

// The modes. The last two are baselines: a plan of a single step, and the old jobs cancelled as the new ones are
// submitted, without a plan.
const (
	Steps   Mode = "steps"
	AtOnce  Mode = "at_once"
	Replace Mode = "replace"
)

// Model is a model whose new version is rolled out.
type Model struct {
	Name            string     `json:"name"`
	Mode            Mode       `json:"mode"`
	AtS             float64    `json:"at_s"`     // when the plan is applied
	Jobs            int        `json:"jobs"`     // of each version
	Replicas        int        `json:"replicas"` // of each job
	GPUs            float64    `json:"gpus"`     // of each replica
	ReplicaCapacity float64    `json:"replica_capacity"`
	Promised        float64    `json:"promised_capacity"`
	BakeS           float64    `json:"bake_s"`
	Routers         int        `json:"routers"`
	RequestsPerS    float64    `json:"requests_per_s"`
	Wrong           *Wrong     `json:"wrong,omitempty"`
	RouterPartition *Partition `json:"cut_router,omitempty"`
	// Expect is the phase in which the plan is to end.
	Expect rollout.Phase `json:"expect,omitempty"`
}

// Wrong has replicas of the first new job respond wrongly.
type Wrong struct {
	Phase  rollout.Phase `json:"phase"`   // from when this phase is seen
	AfterS float64       `json:"after_s"` // and so many seconds later
	Every  int64         `json:"every"`   // one of so many requests
}

// Partition is a partition between the first router and all controllers.
type Partition struct {
	AtS  float64 `json:"at_s"`
	ForS float64 `json:"for_s"`
}

// firstJob is the number of the first job of the first model; modelsApart and versionsApart are how far the first jobs of two
// models, and of two versions, are apart.
const (
	firstJob      = 900_000_000
	modelsApart   = 10_000
	versionsApart = 1_000
)

// jobIDs gives the ids of a version's jobs.
func (m *Model) jobIDs(model int, version rollout.Version) []string {
	number := firstJob + model*modelsApart
	if version == rollout.NewVersion {
		number += versionsApart
	}
	var ids []string
	for i := range m.Jobs {
		ids = append(ids, fmt.Sprintf("run-%09d", number+i))
	}
	return ids
}

// The resources of a replica.
const (
	cpusPerGPU     = 4
	memoryGBPerGPU = 16
	imageGB        = 2
)

// arrival gives a job as its owner submits it, with CPUs and memory in proportion to its GPUs.
func (m *Model) arrival(id, team string, version rollout.Version) load.Arrival {
	class := &load.Class{Name: m.Name, Kind: "service", Priority: "production", Tasks: m.Replicas, GPUs: m.GPUs}
	return load.Arrival{Class: class, Job: &wire.Job{ID: id, Class: m.Name, Team: team, Kind: wire.KindService,
		Priority: wire.PriorityProduction, Tasks: m.Replicas, CPUs: cpusPerGPU * m.GPUs, GPUs: m.GPUs, MemoryGB: memoryGBPerGPU * m.GPUs,
		Image: m.Name + "-" + string(version), ImageGB: imageGB}}
}

// compareScript compares the text of a completion.
const compareScript = `def check(request, answer, expected):
    return answer["choices"][0]["text"] == expected["choices"][0]["text"]
`

// givenScript compares the text of a completion with a given one.
const givenScript = `def check(request, answer, expected):
    return answer["choices"][0]["text"] == expected
`

// plan gives the plan of a model. In steps, one job comes into service at a time, with its share of the traffic.
func (m *Model) plan(model int, team string) ([]byte, error) {
	plan := rollout.Plan{Name: m.Name, Team: team, PromisedCapacity: m.Promised,
		Old: rollout.VersionSpec{Jobs: m.jobIDs(model, rollout.OldVersion), ReplicaCapacity: m.ReplicaCapacity},
		New: rollout.VersionSpec{Jobs: m.jobIDs(model, rollout.NewVersion), ReplicaCapacity: m.ReplicaCapacity},
		Checks: []rollout.Check{
			{Name: "given", Request: json.RawMessage(`{"model":"m","prompt":"border post"}`), Expected: json.RawMessage(`"BORDER POST"`), Script: givenScript},
			{Name: "as before", Request: json.RawMessage(`{"model":"m","prompt":"goods code"}`), CompareWithOld: true, Script: compareScript}},
		Limits: rollout.Limits{WaitTimeoutS: 120, ValidationTimeoutS: 60, RouterGoneS: 30, RetentionS: 3600}}
	if m.Mode == AtOnce {
		plan.Steps = []rollout.Step{{Jobs: plan.New.Jobs, Share: 1, BakeS: m.BakeS}}
		return json.Marshal(plan)
	}
	for i, id := range plan.New.Jobs {
		plan.Steps = append(plan.Steps, rollout.Step{Jobs: []string{id}, Share: float64(i+1) / float64(m.Jobs), BakeS: m.BakeS})
	}
	return json.Marshal(plan)
}
