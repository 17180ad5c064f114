package watchcache

import (
	"encoding/json"
	"maps"
	"slices"

	"bitternwing/internal/rollout"
)

// Plan is a rollout plan with the version of its key.
type Plan struct {
	Record  *rollout.Record // nil if no version of the plan could be decoded
	Problem error           // why the value can't be decoded; nil if it can
	Version uint64
}

// plans holds the rollout plans and an index from each job to its plan.
type plans struct {
	byName map[string]*Plan
	byJob  map[string]string
}

func newPlans() plans { return plans{byName: map[string]*Plan{}, byJob: map[string]string{}} }

// ApplyPlan applies a change of a plan. A nil value is a deletion. If the value can't be decoded, the plan keeps its
// last readable record, which continues to hold the jobs of the plan.
func (c *Cache) ApplyPlan(name string, value json.RawMessage, version uint64) {
	p := &c.plans
	known := p.byName[name]
	if known != nil && known.Version >= version {
		return
	}
	if value == nil {
		delete(p.byName, name)
	} else {
		record, err := rollout.Decode(value)
		if record == nil && known != nil {
			record = known.Record
		}
		p.byName[name] = &Plan{Record: record, Problem: err, Version: version}
	}
	p.rebuildJobIndex()
}

// rebuildJobIndex recomputes which plan each job belongs to.
func (p *plans) rebuildJobIndex() {
	clear(p.byJob)
	for _, name := range slices.Sorted(maps.Keys(p.byName)) {
		if record := p.byName[name].Record; record != nil {
			for _, id := range record.Plan.Jobs() {
				p.byJob[id] = name
			}
		}
	}
}

// replace replaces the plans with those listed at a revision.
func (p *plans) replace(listed plans, revision uint64) {
	retainNewer(listed.byName, p.byName, revision)
	*p = listed
	p.rebuildJobIndex()
}

// Plan returns the plan with the given name, or nil if there is none.
func (c *Cache) Plan(name string) *Plan { return c.plans.byName[name] }

// PlanCount returns the number of plans.
func (c *Cache) PlanCount() int { return len(c.plans.byName) }

// PlanNames returns the sorted names of the plans.
func (c *Cache) PlanNames() []string { return slices.Sorted(maps.Keys(c.plans.byName)) }

// PlanForJob returns the plan that a job belongs to, or nil if there is none.
func (c *Cache) PlanForJob(job string) *Plan { return c.plans.byName[c.plans.byJob[job]] }
