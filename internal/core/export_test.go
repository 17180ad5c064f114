package core

import (
	"encoding/json"
	"fmt"
	"maps"

	"bitternwing/internal/topologyspread"
	"bitternwing/internal/wire"
)

// Evaluations is how many the cycles of this node's current term made.
func (c *Core) Evaluations() int {
	if c.leader == nil {
		return 0
	}
	return c.leader.cycles.evaluationsSpent
}

// EvaluationsPerSecond is how many the settings allow, at the measured cost.
func (c *Core) EvaluationsPerSecond() float64 { return c.evaluationsPerSecond() }

// LastEvaluations is how many the last step made.
func (c *Core) LastEvaluations() int { return c.evaluationCost.StepEvaluations() }

// KnowsCancelled tells whether this node knows that a job is cancelled.
func (c *Core) KnowsCancelled(id string) bool {
	final, _ := c.cache.FinalState(id)
	return c.cache.Job(id).Cancelled() || final.State == wire.JobCancelled
}

// Finals is how many final states this node remembers.
func (c *Core) Finals() int { return c.cache.FinalStateCount() }

// CheckCapacityIndex compares the capacity index, and the counts of jobs' tasks by zone, with what they would be if they
// were built anew.
func (c *Core) CheckCapacityIndex() error {
	l := c.leader
	if l == nil {
		return nil
	}
	schedulable := 0
	for _, m := range l.machinesByName {
		if m.schedulable == nil {
			continue
		}
		schedulable++
		if m.capacityChanged || len(m.orphanedTasks) > 0 {
			continue // the next cycle refreshes it
		}
		free, freeAfterStops := l.schedulable.freeCapacity(m)
		want := (&schedulableMachine{machine: m, free: free, freeAfterStops: freeAfterStops}).indexEntry()
		group, got, ok := l.schedulable.index.Get(m.name)
		if !ok || got != want || group != m.group() {
			return fmt.Errorf("%s: %+v %+v in the index, %+v built anew", m.name, group, got, want)
		}
	}
	if l.schedulable.index.Len() != schedulable {
		return fmt.Errorf("%d machines in the index, of %d", l.schedulable.index.Len(), schedulable)
	}
	if err := l.checkReplicas(); err != nil {
		return err
	}
	for _, j := range l.jobs {
		zones := map[string]int{}
		for _, p := range j.placements {
			zones[p.machine.zone]++
		}
		if !maps.Equal(zones, j.placementsByZone) {
			return fmt.Errorf("%s: tasks by zone %v, built anew %v", j.id, j.placementsByZone, zones)
		}
	}
	return nil
}

// checkReplicas compares the ledger of replicas with one that is built anew.
func (l *leader) checkReplicas() error {
	anew := topologyspread.NewReplicaCounts()
	models := map[topologyspread.Model]bool{}
	for _, m := range l.machinesByName {
		for _, p := range m.placementsInOrder {
			if model, ok := p.job.model(); ok && p.job.placements[p.task] == p {
				anew.Add(model, m.zone, m.name)
				models[model] = true
			}
		}
	}
	if anew.ModelCount() != l.replicaLedger.ModelCount() {
		return fmt.Errorf("%d models have replicas, built anew %d", l.replicaLedger.ModelCount(), anew.ModelCount())
	}
	for model := range models {
		total, zone, machine := l.replicaLedger.Replicas(model)
		if wantTotal, wantZone, wantMachine := anew.Replicas(model); total != wantTotal || zone != wantZone || machine != wantMachine {
			return fmt.Errorf("%v has %d replicas, %d in a zone, %d on a machine; built anew %d, %d, %d", model, total, zone, machine, wantTotal, wantZone, wantMachine)
		}
	}
	return nil
}

// What versions before rollouts, and the one with rollouts, read as a term. They stay as they are.
type (
	plainTerm struct {
		Term uint64 `json:"term"`
		Node string `json:"node"`
	}
	layoutFencedTerm struct {
		Term uint64 `json:"term,string"`
		Node string `json:"node"`
	}
	rolloutsTerm struct {
		Term [1]uint64 `json:"term"`
		Node string    `json:"node"`
	}
)

// ReadableBefore tells whether the version before rollouts can read a term.
func ReadableBefore(value json.RawMessage) bool {
	var plain plainTerm
	var fenced layoutFencedTerm
	return json.Unmarshal(value, &plain) == nil || json.Unmarshal(value, &fenced) == nil
}

// ReadableWithPlans tells whether the version before quota accounts can read a term.
func ReadableWithPlans(value json.RawMessage) bool {
	var rollouts rolloutsTerm
	return json.Unmarshal(value, &rollouts) == nil || ReadableBefore(value)
}
