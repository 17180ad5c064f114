// Package rollout implements progressive delivery of models. A new version is brought into service in steps beside the
// old one. The old version keeps all of its replicas until the new one serves all traffic, so that a rollback is
// possible at any time before.
//
// The package is pure: it reads no clock, makes no calls, and its decisions depend on an Observation only. It contains
// plans and their state machine (Record), the validation of replicas, the routing of traffic and the leases of routers.
// It has no notion of how jobs are placed.
package rollout

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"slices"

	"bitternwing/internal/schema"
	"bitternwing/internal/wire"
)

// Plan describes how a new version of a model replaces the old one.
type Plan struct {
	Name string      `json:"name"`
	Team string      `json:"team"`
	Old  VersionSpec `json:"old"`
	New  VersionSpec `json:"new"`
	// PromisedCapacity is the capacity that the rollout keeps available at any time, in the unit of replica_capacity.
	PromisedCapacity float64 `json:"promised_capacity"`
	Steps            []Step  `json:"steps"`
	Checks           []Check `json:"checks"`
	Limits           Limits  `json:"limits"`
}

// VersionSpec describes the jobs that serve a version of a model.
type VersionSpec struct {
	Jobs            []string `json:"jobs"`
	ReplicaCapacity float64  `json:"replica_capacity"` // of one task
}

// Step starts some of the jobs of the new version.
type Step struct {
	Jobs  []string `json:"jobs"`
	Share float64  `json:"share"`  // new version's share of all traffic
	BakeS float64  `json:"bake_s"` // time in seconds for which that share has to be served without a failure
}

// Check validates the response of a new replica to a request.
type Check struct {
	Name    string          `json:"name"`
	Request json.RawMessage `json:"request"` // body of the request
	// Expected is passed to the script. It is absent if CompareWithOld is true.
	Expected       json.RawMessage `json:"expected,omitempty"`
	CompareWithOld bool            `json:"compare_with_old,omitempty"` // expected is the old version's response to the same request
	// Script is a Starlark script. It defines check(request, answer, expected), which returns True if the response
	// (answer) is correct.
	Script string `json:"script"`
}

// Limits are the timeouts of a plan, in seconds.
type Limits struct {
	WaitTimeoutS       float64 `json:"wait_s"`        // for phases that wait for jobs, machines, capacity or routers
	ValidationTimeoutS float64 `json:"unreachable_s"` // for the phase in which replicas are validated
	RouterGoneS        float64 `json:"router_gone_s"` // after which a router that sends no requests is considered gone
	RetentionS         float64 `json:"keep_s"`        // for which the record is kept after the plan has ended
}

//go:embed plan.schema.json
var planSchema []byte

// PlanSchema returns the published JSON schema of plans.
func PlanSchema() []byte { return planSchema }

// FieldError describes an invalid field of a plan.
type FieldError struct {
	Field   string // JSON pointer to the field
	Problem string
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

func fieldError(problem, field string, args ...any) error {
	return &FieldError{Field: fmt.Sprintf(field, args...), Problem: problem}
}

// ParsePlan parses a plan of at most maxBytes and validates all that can be validated without access to the jobs.
func ParsePlan(data []byte, maxBytes int) (*Plan, error) {
	if len(data) > maxBytes {
		return nil, fieldError(fmt.Sprintf("the plan has %d bytes, at most %d are taken", len(data), maxBytes), "/")
	}
	if err := schema.Validate("plan.schema.json", planSchema, data); err != nil {
		return nil, err
	}
	plan := &Plan{}
	if err := json.Unmarshal(data, plan); err != nil {
		return nil, err
	}
	return plan, plan.validate()
}

// validate checks the constraints that the schema cannot express.
func (p *Plan) validate() error {
	for _, validate := range []func() error{p.validateJobs, p.validateSteps, p.validateChecks} {
		if err := validate(); err != nil {
			return err
		}
	}
	return nil
}

func (p *Plan) validateJobs() error {
	seen := map[string]bool{}
	for _, version := range []struct {
		name string
		jobs []string
	}{{"old", p.Old.Jobs}, {"new", p.New.Jobs}} {
		for i, id := range version.jobs {
			switch {
			case !wire.ValidJobID(id):
				return fieldError("is no job id", "/%s/jobs/%d", version.name, i)
			case seen[id]:
				return fieldError("is named twice", "/%s/jobs/%d", version.name, i)
			}
			seen[id] = true
		}
	}
	return nil
}

func (p *Plan) validateSteps() error {
	previousShare, used := 0.0, map[string]bool{}
	for i, step := range p.Steps {
		if step.Share < previousShare {
			return fieldError("is less than that of the step before", "/steps/%d/share", i)
		}
		previousShare = step.Share
		for k, id := range step.Jobs {
			switch {
			case !slices.Contains(p.New.Jobs, id):
				return fieldError("is not one of /new/jobs", "/steps/%d/jobs/%d", i, k)
			case used[id]:
				return fieldError("is in a step already", "/steps/%d/jobs/%d", i, k)
			}
			used[id] = true
		}
	}
	if previousShare != 1 {
		return fieldError("must be 1 in the last step", "/steps/%d/share", len(p.Steps)-1)
	}
	for i, id := range p.New.Jobs {
		if !used[id] {
			return fieldError("is in no step", "/new/jobs/%d", i)
		}
	}
	return nil
}

func (p *Plan) validateChecks() error {
	names := map[string]bool{}
	for i, c := range p.Checks {
		switch {
		case names[c.Name]:
			return fieldError("is used twice", "/checks/%d/name", i)
		case c.CompareWithOld == (len(c.Expected) > 0):
			return fieldError("either this or compare_with_old has to be there", "/checks/%d/expected", i)
		}
		names[c.Name] = true
	}
	return nil
}

// Jobs returns the IDs of the jobs of both versions.
func (p *Plan) Jobs() []string { return slices.Concat(p.Old.Jobs, p.New.Jobs) }

// stepOf returns the index of the step that starts a new job, or -1 for any other job.
func (p *Plan) stepOf(id string) int {
	return slices.IndexFunc(p.Steps, func(s Step) bool { return slices.Contains(s.Jobs, id) })
}

// ScriptError returns the error for an invalid script of the check with the given index.
func ScriptError(index int, problem error) error {
	return fieldError(problem.Error(), "/checks/%d/script", index)
}
