package scheduling

import (
	"slices"
	"testing"

	"bitternwing/internal/config"
	"bitternwing/internal/resource"
)

func TestInstances(t *testing.T) {
	for _, tt := range []struct {
		instances   Instances
		elastic     bool
		surplus     int
		fulfillment float64
	}{
		{Instances{Current: 1, Min: 1, Max: 5}, true, 0, 0},
		{Instances{Current: 3, Min: 1, Max: 5}, true, 2, 0.5},
		{Instances{Current: 5, Min: 1, Max: 5}, true, 4, 1},
		{Instances{Current: 0, Min: 1, Max: 5}, true, -1, -0.25},
	} {
		i := tt.instances
		if i.Elastic() != tt.elastic || i.Surplus() != tt.surplus || i.Fulfillment() != tt.fulfillment {
			t.Errorf("%+v: elastic %v, surplus %d, fulfillment %g", i, i.Elastic(), i.Surplus(), i.Fulfillment())
		}
	}
	if (Instances{Current: 1, Min: 1, Max: 1}).Elastic() {
		t.Error("instances with equal bounds are elastic")
	}
}

// TestFulfillmentQueue allocates instances until each candidate is at its maximum, and checks the order of allocation.
func TestFulfillmentQueue(t *testing.T) {
	candidate := func(id string, maxInstances int, gpus float64, queuedMS int64) *Candidate[string] {
		return &Candidate[string]{Job: id, Instances: Instances{Min: 0, Max: maxInstances}, Task: resource.Amount{GPUs: gpus},
			Position: QueuePosition{QueuedMS: queuedMS, ID: id}}
	}
	queue := NewFulfillmentQueue([]*Candidate[string]{
		candidate("large", 2, 8, 1), candidate("younger", 2, 1, 3), candidate("older", 2, 1, 2), candidate("long", 4, 1, 1)})
	var turns []string
	for queue.Len() > 0 {
		least := queue.LeastFulfilled()
		if least.Instances.Current == least.Instances.Max {
			queue.RemoveLeastFulfilled()
			continue
		}
		turns = append(turns, least.Job)
		queue.RecordAllocation(least.NextTask)
	}
	want := []string{"long", "older", "younger", "large", // all scores are 0: smaller tasks first, and of these the oldest job
		"long", // at 1/4; the others are at 1/2
		"long", "older", "younger", "large", "long"}
	if !slices.Equal(turns, want) {
		t.Errorf("order of allocation is %v, want %v", turns, want)
	}
}

func TestTeamUsage(t *testing.T) {
	team := &config.Team{Name: "a", GuaranteedGPUs: 4, MaxGPUs: 8, MaxCPUs: 20}
	task := resource.Amount{GPUs: 2, CPUs: 4}
	usage := TeamUsage{}
	if usage.WithinLimit(nil, task, 1) {
		t.Error("a team that does not exist is within its limit")
	}
	usage.Add("a", task, 2)
	if usage.ExceedsGuarantee(team) || !usage.WithinLimit(team, task, 2) || usage.WithinLimit(team, task, 3) {
		t.Errorf("usage %+v with a guarantee of 4 GPUs and a limit of 8 GPUs", usage.ForTeam("a"))
	}
	usage.Add("a", task, 1)
	if !usage.ExceedsGuarantee(team) {
		t.Errorf("usage %+v does not exceed a guarantee of 4 GPUs", usage.ForTeam("a"))
	}
	usage.Add("a", task, -3)
	if usage.ForTeam("a") != (Usage{}) {
		t.Errorf("usage %+v after all tasks were removed", usage.ForTeam("a"))
	}
	cpuOnly := resource.Amount{CPUs: 5}
	if !usage.WithinLimit(team, cpuOnly, 4) || usage.WithinLimit(team, cpuOnly, 5) {
		t.Error("a limit of 20 CPUs does not allow exactly 4 tasks of 5 CPUs")
	}
	unguaranteed := &config.Team{Name: "b"}
	if usage.ExceedsGuarantee(unguaranteed) {
		t.Error("a team without a guarantee exceeds it without any usage")
	}
	usage.Add("b", cpuOnly, 1)
	if !usage.ExceedsGuarantee(unguaranteed) {
		t.Error("a team without a guarantee does not exceed it with a running task")
	}
}

func TestMayPreempt(t *testing.T) {
	guaranteedTeam, otherTeam := &config.Team{Name: "a", GuaranteedGPUs: 4}, &config.Team{Name: "b", GuaranteedGPUs: 4}
	usage := TeamUsage{}
	usage.Add("a", resource.Amount{GPUs: 1}, 6)
	usage.Add("b", resource.Amount{GPUs: 1}, 6)
	for name, tt := range map[string]struct {
		preemptor, victim PreemptionCriteria
		want              bool
	}{
		"higher priority":            {PreemptionCriteria{guaranteedTeam, 2, false}, PreemptionCriteria{otherTeam, 1, false}, true},
		"equal priority":             {PreemptionCriteria{guaranteedTeam, 1, false}, PreemptionCriteria{otherTeam, 1, false}, false},
		"within guarantee":           {PreemptionCriteria{guaranteedTeam, 1, true}, PreemptionCriteria{otherTeam, 1, false}, true},
		"victim has higher priority": {PreemptionCriteria{guaranteedTeam, 0, true}, PreemptionCriteria{otherTeam, 1, false}, true},
		"same team":                  {PreemptionCriteria{guaranteedTeam, 1, true}, PreemptionCriteria{guaranteedTeam, 1, false}, false},
		"victim's team is gone":      {PreemptionCriteria{guaranteedTeam, 0, false}, PreemptionCriteria{nil, 3, false}, true},
	} {
		if usage.MayPreempt(tt.preemptor, tt.victim) != tt.want {
			t.Errorf("%s: MayPreempt is not %v", name, tt.want)
		}
	}
	usage.Add("b", resource.Amount{GPUs: 1}, -2)
	if usage.MayPreempt(PreemptionCriteria{guaranteedTeam, 1, true}, PreemptionCriteria{otherTeam, 1, false}) {
		t.Error("a team within its guarantee may be preempted")
	}
}

func TestSelectVictims(t *testing.T) {
	one := resource.Amount{GPUs: 1}
	instance := func(job string, current int) PreemptibleInstance[string] {
		return PreemptibleInstance[string]{Job: job, JobInstances: Instances{Current: current, Min: 1, Max: 9}, Task: one}
	}
	instances := []PreemptibleInstance[string]{instance("low", 2), instance("high", 3), instance("low", 2), instance("high", 3), instance("high", 3)}
	for _, tt := range []struct {
		need, free float64
		victims    []int
		possible   bool
	}{
		{1, 0, []int{1}, true},
		{2, 1, []int{1}, true},
		{3, 0, []int{1, 3, 0}, true}, // both surplus instances of the more fulfilled job, then one of the other
		{4, 0, nil, false},
	} {
		victims, possible := SelectVictims(resource.Amount{GPUs: tt.need}, resource.Amount{GPUs: tt.free}, instances)
		if !slices.Equal(victims, tt.victims) || possible != tt.possible {
			t.Errorf("%g GPUs required, %g free: victims %v, possible %v", tt.need, tt.free, victims, possible)
		}
	}
}

func TestUrgency(t *testing.T) {
	order := []Urgency{
		{WithinGuarantee: true, Priority: 1, LatestStartMS: 9, Position: QueuePosition{1, "a"}},
		{WithinGuarantee: true, Priority: 0, LatestStartMS: 1, Position: QueuePosition{0, "a"}},
		{Priority: 3, LatestStartMS: 5, Position: QueuePosition{7, "a"}},
		{Priority: 3, LatestStartMS: 6, Position: QueuePosition{4, "a"}},
		{Priority: 3, LatestStartMS: 6, Position: QueuePosition{4, "b"}},
		{Priority: 3, LatestStartMS: 6, Position: QueuePosition{5, "a"}},
	}
	for i, a := range order {
		for k, b := range order {
			if a.Before(b) != (i < k) {
				t.Errorf("%+v before %+v: %v", a, b, a.Before(b))
			}
		}
	}
}

func TestInstancesForObjective(t *testing.T) {
	objectives := []config.Objective{{Kind: "started", Class: "c", WithinS: 10}, {Kind: "finished", Class: "c", WithinS: 100}, {Kind: "finished", Class: "c", WithinS: 1000}}
	for _, tt := range []struct {
		class    string
		ageS     float64
		want     int
		possible bool
	}{
		{"c", 0, 1, true},  // ten runs fit into 100 s
		{"c", 75, 5, true}, // two runs fit into the remaining 25 s
		{"c", 95, 1, true}, // none fits into the remaining 5 s of 100 s, but 90 fit into the rest of 1000 s
		{"c", 995, 0, false},
		{"other", 0, 0, false},
	} {
		if n, possible := InstancesForObjective(objectives, tt.class, tt.ageS, 10, 10); n != tt.want || possible != tt.possible {
			t.Errorf("class %s after %g s: %d instances, possible %v", tt.class, tt.ageS, n, possible)
		}
	}
}
