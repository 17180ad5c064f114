// Package rolling simulates rollouts of models in a fleet simulation: the owner of a model, who applies a plan with the
// rollout command and submits the jobs, and routers that send requests to simulated model servers. It measures the
// effect on users. All decisions about a rollout are made by the controllers.
package rolling

import (
	"encoding/json"
	"fmt"

	"bitternwing/internal/fleetsim/load"
	"bitternwing/internal/rollout"
	"bitternwing/internal/wire"
)

// Mode is the way in which a model's new version is brought into service.
type Mode string

// The modes. Steps brings one job at a time into service. The other two are baselines for comparison: AtOnce is a plan
// with a single step, Replace cancels the old jobs and submits the new ones at the same time, without a plan.
const (
	Steps   Mode = "steps"
	AtOnce  Mode = "at_once"
	Replace Mode = "replace"
)

// Model describes a model and the rollout of its new version.
type Model struct {
	Name            string          `json:"name"`
	Mode            Mode            `json:"mode"`
	AtS             float64         `json:"at_s"`     // when the plan is applied
	Jobs            int             `json:"jobs"`     // of each version
	Replicas        int             `json:"replicas"` // of each job
	GPUs            float64         `json:"gpus"`     // of each replica
	ReplicaCapacity float64         `json:"replica_capacity"`
	Promised        float64         `json:"promised_capacity"`
	BakeS           float64         `json:"bake_s"`
	Routers         int             `json:"routers"`
	RequestsPerS    float64         `json:"requests_per_s"`
	Wrong           *WrongResponses `json:"wrong,omitempty"`
	RouterPartition *Partition      `json:"cut_router,omitempty"`
	// Expect is the phase in which the plan has to end; "" for any.
	Expect rollout.Phase `json:"expect,omitempty"`
}

// WrongResponses is a fault that makes replicas of the first new job return wrong responses.
type WrongResponses struct {
	Phase  rollout.Phase `json:"phase"`   // phase of the plan that triggers the fault
	AfterS float64       `json:"after_s"` // delay after the phase was first seen
	Every  int64         `json:"every"`   // n if each n-th request gets a wrong response
}

// Partition is a fault that partitions the first router from all controllers.
type Partition struct {
	AtS  float64 `json:"at_s"`
	ForS float64 `json:"for_s"`
}

// Each model has a range of numbers for the ids of its jobs, of which each version has a part. The first range begins
// with firstJobNumber.
const (
	firstJobNumber       = 900_000_000
	jobNumbersPerModel   = 10_000
	jobNumbersPerVersion = 1_000
)

// jobIDs returns the ids of a version's jobs. model is the index of the model in the scenario.
func (m *Model) jobIDs(model int, version rollout.Version) []string {
	number := firstJobNumber + model*jobNumbersPerModel
	if version == rollout.NewVersion {
		number += jobNumbersPerVersion
	}
	var ids []string
	for i := range m.Jobs {
		ids = append(ids, fmt.Sprintf("run-%09d", number+i))
	}
	return ids
}

// The resources of a replica, in proportion to its GPUs, and the size of its image.
const (
	cpusPerGPU     = 4
	memoryGBPerGPU = 16
	imageGB        = 2
)

// arrival returns a job of a version as its owner submits it.
func (m *Model) arrival(id, team string, version rollout.Version) load.Arrival {
	class := &load.Class{Name: m.Name, Kind: "service", Priority: "production", Tasks: m.Replicas, GPUs: m.GPUs}
	return load.Arrival{Class: class, Job: &wire.Job{ID: id, Class: m.Name, Team: team, Kind: wire.KindService,
		Priority: wire.PriorityProduction, Tasks: m.Replicas, CPUs: cpusPerGPU * m.GPUs, GPUs: m.GPUs, MemoryGB: memoryGBPerGPU * m.GPUs,
		Image: m.Name + "-" + string(version), ImageGB: imageGB}}
}

// compareWithOldScript compares the completion with that of the old version.
const compareWithOldScript = `def check(request, answer, expected):
    return answer["choices"][0]["text"] == expected["choices"][0]["text"]
`

// compareWithGivenScript compares the completion with a text in the plan.
const compareWithGivenScript = `def check(request, answer, expected):
    return answer["choices"][0]["text"] == expected
`

// plan returns the rollout plan of a model as JSON. In mode Steps, each step adds one job and its share of the traffic.
func (m *Model) plan(model int, team string) ([]byte, error) {
	plan := rollout.Plan{Name: m.Name, Team: team, PromisedCapacity: m.Promised,
		Old: rollout.VersionSpec{Jobs: m.jobIDs(model, rollout.OldVersion), ReplicaCapacity: m.ReplicaCapacity},
		New: rollout.VersionSpec{Jobs: m.jobIDs(model, rollout.NewVersion), ReplicaCapacity: m.ReplicaCapacity},
		Checks: []rollout.Check{
			{Name: "given", Request: json.RawMessage(`{"model":"m","prompt":"border post"}`), Expected: json.RawMessage(`"BORDER POST"`), Script: compareWithGivenScript},
			{Name: "as before", Request: json.RawMessage(`{"model":"m","prompt":"goods code"}`), CompareWithOld: true, Script: compareWithOldScript}},
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
