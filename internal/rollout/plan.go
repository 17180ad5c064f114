// Package rollout brings a new version of a model into service by steps, beside the old one, which stays whole
// until the new one has taken over. It decides from what it is shown and keeps no clock, no network and no state
// of its own beside its records: what a plan says, which phase it is in, what its replicas have proved, how
// traffic is to be shared, and which routers know of it. It knows nothing of how jobs are placed.
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
	// PromisedCapacity is never gone below by what the rollout does, in the unit of replica_capacity.
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

// Step brings in some of the new version's jobs.
type Step struct {
	Jobs  []string `json:"jobs"`
	Share float64  `json:"share"`  // of all traffic that the new version gets
	BakeS float64  `json:"bake_s"` // how long it has to serve that share without fault
}

// Check judges an answer of a new replica.
type Check struct {
	Name    string          `json:"name"`
	Request json.RawMessage `json:"request"` // body of the request
	// Expected is what the script gets to compare with; absent where CompareWithOld is true.
	Expected       json.RawMessage `json:"expected,omitempty"`
	CompareWithOld bool            `json:"compare_with_old,omitempty"` // the old version is asked the same
	// Script is Starlark: a function check(request, answer, expected) that gives True for a right answer.
	Script string `json:"script"`
}

// Limits are times after which a plan gives up or is forgotten.
type Limits struct {
	WaitS        float64 `json:"wait_s"`        // for jobs, room, capacity or routers
	UnreachableS float64 `json:"unreachable_s"` // for replicas that can't be proved
	RouterGoneS  float64 `json:"router_gone_s"` // after which a router that does not ask is taken for gone at completion
	KeepS        float64 `json:"keep_s"`        // the result is kept for so long
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

// ParsePlan reads a plan of at most so many bytes and checks what it can tell by itself.
func ParsePlan(data []byte, mostBytes int) (*Plan, error) {
	if len(data) > mostBytes {
		return nil, fieldError(fmt.Sprintf("the plan has %d bytes, at most %d are taken", len(data), mostBytes), "/")
	}
	if err := schema.Check("plan.schema.json", planSchema, data); err != nil {
		return nil, err
	}
	plan := &Plan{}
	if err := json.Unmarshal(data, plan); err != nil {
		return nil, err
	}
	return plan, plan.check()
}

// check checks what the schema can't tell.
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

// stepOf gives the step that brings in a new job; -1 for any other job.
func (p *Plan) stepOf(id string) int {
	return slices.IndexFunc(p.Steps, func(s Step) bool { return slices.Contains(s.Jobs, id) })
}

// CheckError says that the script of a check is none.
func CheckError(index int, problem error) error {
	return fieldError(problem.Error(), "/checks/%d/script", index)
}
