// Package rollout is progressive delivery for models: a new version comes into service step by step, beside the old one,
// which keeps all of its replicas until the new one serves all traffic, so that a rollback is possible at any time.
//
// The package is pure: it reads no clock, makes no calls, and decides by an Observation alone. It holds plans and their
// state machine (Record), the validations of replicas, the routing of traffic, and the leases of routers. It does not know
// how jobs are placed.
package rollout

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"slices"

	"bitternwing/internal/schema"
	"bitternwing/internal/wire"
)

// Plan says how a model's new version is to replace its old one.
type Plan struct {
	Name string `json:"name"`
	Team string `json:"team"`
	Old  Fleet  `json:"old"`
	New  Fleet  `json:"new"`
	// PromisedCapacity is what the rollout keeps available at any time, in the unit of replica_capacity.
	PromisedCapacity float64 `json:"promised_capacity"`
	Steps            []Step  `json:"steps"`
	Checks           []Check `json:"checks"`
	Limits           Limits  `json:"limits"`
}

// Fleet is the jobs that serve a version of a model.
type Fleet struct {
	Jobs            []string `json:"jobs"`
	ReplicaCapacity float64  `json:"replica_capacity"` // of one task
}

// Step starts some of the new version's jobs.
type Step struct {
	Jobs  []string `json:"jobs"`
	Share float64  `json:"share"`  // of all traffic that the new version gets
	BakeS float64  `json:"bake_s"` // how long it has to serve that share without a failure
}

// Check validates an answer of a new replica.
type Check struct {
	Name    string          `json:"name"`
	Request json.RawMessage `json:"request"` // body of the request
	// Expected is passed to the script; absent if CompareWithOld is true.
	Expected       json.RawMessage `json:"expected,omitempty"`
	CompareWithOld bool            `json:"compare_with_old,omitempty"` // with the old version's answer to the same request
	// Script is Starlark: a function check(request, answer, expected) that gives True for a right answer.
	Script string `json:"script"`
}

// Limits are the timeouts of a plan.
type Limits struct {
	WaitS        float64 `json:"wait_s"`        // of a phase that waits for jobs, machines, capacity or routers
	UnreachableS float64 `json:"unreachable_s"` // of the phase in which replicas are validated
	RouterGoneS  float64 `json:"router_gone_s"` // after which a router that sends no requests counts as gone
	KeepS        float64 `json:"keep_s"`        // for which the record of a completed plan is kept
}

//go:embed plan.schema.json
var planSchema []byte

// PlanSchema is the published schema of plans.
func PlanSchema() []byte { return planSchema }

// FieldError says what is wrong with a field of a plan.
type FieldError struct {
	Field   string // as a JSON pointer
	Problem string
}

func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

func fieldError(problem, field string, args ...any) error {
	return &FieldError{Field: fmt.Sprintf(field, args...), Problem: problem}
}

// ParsePlan reads a plan of at most maxBytes and checks it as far as that is possible without the jobs.
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
	return plan, plan.check()
}

// check checks what the schema can't express.
func (p *Plan) check() error {
	for _, step := range []func() error{p.checkJobs, p.checkSteps, p.checkChecks} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func (p *Plan) checkJobs() error {
	seen := map[string]bool{}
	for _, fleet := range []struct {
		name string
		jobs []string
	}{{"old", p.Old.Jobs}, {"new", p.New.Jobs}} {
		for i, id := range fleet.jobs {
			switch {
			case !wire.ValidJobID(id):
				return fieldError("is no job id", "/%s/jobs/%d", fleet.name, i)
			case seen[id]:
				return fieldError("is named twice", "/%s/jobs/%d", fleet.name, i)
			}
			seen[id] = true
		}
	}
	return nil
}

func (p *Plan) checkSteps() error {
	share, used := 0.0, map[string]bool{}
	for i, step := range p.Steps {
		if step.Share < share {
			return fieldError("is less than that of the step before", "/steps/%d/share", i)
		}
		share = step.Share
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
	if share != 1 {
		return fieldError("must be 1 in the last step", "/steps/%d/share", len(p.Steps)-1)
	}
	for i, id := range p.New.Jobs {
		if !used[id] {
			return fieldError("is in no step", "/new/jobs/%d", i)
		}
	}
	return nil
}

func (p *Plan) checkChecks() error {
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

// Jobs gives the ids of all jobs of both versions.
func (p *Plan) Jobs() []string { return slices.Concat(p.Old.Jobs, p.New.Jobs) }

// stepOf gives the step that starts a new job; -1 for any other job.
func (p *Plan) stepOf(id string) int {
	return slices.IndexFunc(p.Steps, func(s Step) bool { return slices.Contains(s.Jobs, id) })
}

// CheckError says that the script of a check is invalid.
func CheckError(index int, problem error) error {
	return fieldError(problem.Error(), "/checks/%d/script", index)
}
