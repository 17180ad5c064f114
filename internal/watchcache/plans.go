package watchcache

import (
	"encoding/json"
	"maps"
	"slices"

	"bitternwing/internal/rollout"
)

// Plan is a rollout plan with the version of its key.
type Plan struct {
	Record  *rollout.Record // nil: nothing of it can be read
	Problem error           // why the plan is left alone; nil: it can be read
	Version uint64
}

// plans are the rollout plans, and which plan a job belongs to.
type plans struct {
	byName map[string]*Plan
	byJob  map[string]string
}

func newPlans() plans { return plans{byName: map[string]*Plan{}, byJob: map[string]string{}} }

// ApplyPlan takes a plan's value, or its deletion where value is nil. One that can't be read any more leaves its jobs as
// they are: the last record that could be read goes on holding them.
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
	p.index()
}

// index works out anew which plan each job belongs to.
func (p *plans) index() {
	clear(p.byJob)
	for _, name := range slices.Sorted(maps.Keys(p.byName)) {
		if record := p.byName[name].Record; record != nil {
			for _, id := range record.Plan.Jobs() {
				p.byJob[id] = name
			}
		}
	}
}

// replace takes plans that were listed at a revision.
func (p *plans) replace(read plans, revision uint64) {
	retainNewer(read.byName, p.byName, revision)
	*p = read
	p.index()
}

// Plan returns a plan; nil if there is none of that name.
func (c *Cache) Plan(name string) *Plan { return c.plans.byName[name] }

// PlanCount returns how many plans there are.
func (c *Cache) PlanCount() int { return len(c.plans.byName) }

// PlanNames returns the names of the plans in their order.
func (c *Cache) PlanNames() []string { return slices.Sorted(maps.Keys(c.plans.byName)) }

// PlanHolding returns the plan that a job belongs to; nil if it belongs to none.
func (c *Cache) PlanHolding(job string) *Plan { return c.plans.byName[c.plans.byJob[job]] }
