package scheduling

import (
	"slices"
	"testing"

	"bitternwing/internal/config"
	"bitternwing/internal/resource"
)

func TestInstances(t *testing.T) {
	for _, c := range []struct {
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
		i := c.instances
		if i.Elastic() != c.elastic || i.Surplus() != c.surplus || i.Fulfillment() != c.fulfillment {
			t.Errorf("%+v: %v, %d, %g", i, i.Elastic(), i.Surplus(), i.Fulfillment())
		}
	}
	if (Instances{Current: 1, Min: 1, Max: 1}).Elastic() {
		t.Error("equal bounds leave a choice")
	}
}

// TestFulfillmentQueue allocates instances until each candidate has all of its own, and notes whose turn it was.
func TestFulfillmentQueue(t *testing.T) {
	candidate := func(id string, limit int, gpus float64, queuedMS int64) *Candidate[string] {
		return &Candidate[string]{Job: id, Instances: Instances{Min: 0, Max: limit}, Task: resource.Amount{GPUs: gpus},
			Position: QueuePosition{QueuedMS: queuedMS, ID: id}}
	}
	queue := NewFulfillmentQueue([]*Candidate[string]{
		candidate("large", 2, 8, 1), candidate("younger", 2, 1, 3), candidate("older", 2, 1, 2), candidate("long", 4, 1, 1)})
	var turns []string
	for queue.Len() > 0 {
		least := queue.LeastFulfilled()
		if least.Instances.Current == least.Instances.Max {
			queue.Drop()
			continue
		}
		turns = append(turns, least.Job)
		queue.Allocated(least.NextTask)
	}
	want := []string{"long", "older", "younger", "large", // all at 0: the small ones first, of these the oldest
		"long", // at 1/4, the others at 1/2
		"long", "older", "younger", "large", "long"}
	if !slices.Equal(turns, want) {
		t.Errorf("allocated to %v, not %v", turns, want)
	}
}

func TestTeamUsage(t *testing.T) {
	team := &config.Team{Name: "a", GuaranteedGPUs: 4, MaxGPUs: 8, MaxCPUs: 20}
	task := resource.Amount{GPUs: 2, CPUs: 4}
	usage := TeamUsage{}
	if usage.WithinLimit(nil, task, 1) {
		t.Error("a team that does not exist may use something")
	}
	usage.Add("a", task, 2)
	if usage.ExceedsGuarantee(team) || !usage.WithinLimit(team, task, 2) || usage.WithinLimit(team, task, 3) {
		t.Errorf("%+v of a guarantee of 4 and a limit of 8 GPUs", usage.Of("a"))
	}
	usage.Add("a", task, 1)
	if !usage.ExceedsGuarantee(team) {
		t.Errorf("%+v is within a guarantee of 4 GPUs", usage.Of("a"))
	}
	usage.Add("a", task, -3)
	if usage.Of("a") != (Usage{}) {
		t.Errorf("%+v is used by nothing", usage.Of("a"))
	}
	cpuOnly := resource.Amount{CPUs: 5}
	if !usage.WithinLimit(team, cpuOnly, 4) || usage.WithinLimit(team, cpuOnly, 5) {
		t.Error("the limit of CPUs is not kept")
	}
	unguaranteed := &config.Team{Name: "b"}
	if usage.ExceedsGuarantee(unguaranteed) {
		t.Error("a team that runs nothing exceeds its guarantee")
	}
	usage.Add("b", cpuOnly, 1)
	if !usage.ExceedsGuarantee(unguaranteed) {
		t.Error("a team without a guarantee does not exceed it with all that it runs")
	}
}

func TestMayPreempt(t *testing.T) {
	guaranteed, excessive := &config.Team{Name: "a", GuaranteedGPUs: 4}, &config.Team{Name: "b", GuaranteedGPUs: 4}
	usage := TeamUsage{}
	usage.Add("a", resource.Amount{GPUs: 1}, 6)
	usage.Add("b", resource.Amount{GPUs: 1}, 6)
	for name, c := range map[string]struct {
		preemptor, victim Claim
		may               bool
	}{
		"higher priority":          {Claim{guaranteed, 2, false}, Claim{excessive, 1, false}, true},
		"equal priority":           {Claim{guaranteed, 1, false}, Claim{excessive, 1, false}, false},
		"within guarantee":         {Claim{guaranteed, 1, true}, Claim{excessive, 1, false}, true},
		"against higher priority":  {Claim{guaranteed, 0, true}, Claim{excessive, 1, false}, true},
		"of the same team":         {Claim{guaranteed, 1, true}, Claim{guaranteed, 1, false}, false},
		"victim's team is no more": {Claim{guaranteed, 0, false}, Claim{nil, 3, false}, true},
	} {
		if usage.MayPreempt(c.preemptor, c.victim) != c.may {
			t.Errorf("%s: %v expected", name, c.may)
		}
	}
	usage.Add("b", resource.Amount{GPUs: 1}, -2)
	if usage.MayPreempt(Claim{guaranteed, 1, true}, Claim{excessive, 1, false}) {
		t.Error("a team within its guarantee is preempted")
	}
}

func TestSelectVictims(t *testing.T) {
	one := resource.Amount{GPUs: 1}
	instance := func(job string, current int) PreemptibleInstance[string] {
		return PreemptibleInstance[string]{Job: job, Instances: Instances{Current: current, Min: 1, Max: 9}, Task: one}
	}
	instances := []PreemptibleInstance[string]{instance("low", 2), instance("high", 3), instance("low", 2), instance("high", 3), instance("high", 3)}
	for _, c := range []struct {
		need, free float64
		victims    []int
		possible   bool
	}{
		{1, 0, []int{1}, true},
		{2, 1, []int{1}, true},
		{3, 0, []int{1, 3, 0}, true}, // two above the minimum of the one job, then one of the other
		{4, 0, nil, false},
	} {
		victims, possible := SelectVictims(resource.Amount{GPUs: c.need}, resource.Amount{GPUs: c.free}, instances)
		if !slices.Equal(victims, c.victims) || possible != c.possible {
			t.Errorf("%g needed, %g free: %v, %v", c.need, c.free, victims, possible)
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
	for _, c := range []struct {
		class    string
		ageS     float64
		want     int
		possible bool
	}{
		{"c", 0, 1, true},  // ten runs fit into 100 s
		{"c", 75, 5, true}, // two
		{"c", 95, 1, true}, // none, but 90 into what is left of 1000 s
		{"c", 995, 0, false},
		{"other", 0, 0, false},
	} {
		if n, possible := InstancesForObjective(objectives, c.class, c.ageS, 10, 10); n != c.want || possible != c.possible {
			t.Errorf("class %s after %g s: %d, %v", c.class, c.ageS, n, possible)
		}
	}
}
