package core

import (
	"encoding/json"
	"maps"
	"slices"

	"bitternwing/internal/rollout"
)

// cachedPlan is a plan as a node has read it.
type cachedPlan struct {
	record  *rollout.Record // nil: nothing of it can be read
	problem error           // why the plan is left alone; nil: it can be read
	version uint64
}

// cachedPlans keeps the plans that are watched, and which plan a job belongs to.
type cachedPlans struct {
	byName map[string]*cachedPlan
	byJob  map[string]string
}

func newCachedPlans() cachedPlans {
	return cachedPlans{byName: map[string]*cachedPlan{}, byJob: map[string]string{}}
}

// apply takes a plan's value, or its end where value is nil. What can't be read any more leaves the jobs as
// they were: its last readable record goes on holding them.
func (p *cachedPlans) apply(name string, value json.RawMessage, version uint64) {
	old := p.byName[name]
	if old != nil && old.version >= version {
		return
	}
	if value == nil {
		delete(p.byName, name)
	} else {
		record, err := rollout.Decode(value)
		if record == nil && old != nil {
			record = old.record
		}
		p.byName[name] = &cachedPlan{record: record, problem: err, version: version}
	}
	p.index()
}

// index works out anew which plan each job belongs to.
func (p *cachedPlans) index() {
	clear(p.byJob)
	for _, name := range slices.Sorted(maps.Keys(p.byName)) {
		if record := p.byName[name].record; record != nil {
			for _, id := range record.Plan.Jobs() {
				p.byJob[id] = name
			}
		}
	}
}

// replace takes plans that were read anew, up to a revision. What was heard of since stays.
func (p *cachedPlans) replace(read cachedPlans, revision uint64) {
	retainNewer(read.byName, p.byName, revision)
	*p = read
	p.index()
}
