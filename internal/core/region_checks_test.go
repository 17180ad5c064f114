package core_test

import (
	"time"

	"bitternwing/internal/outcome"
	"bitternwing/internal/quota"
)

// used returns the number of GPUs that a team's tasks use on the machines of a region.
func (region *simulatedRegion) used(team string) float64 {
	sum := 0.0
	for task, worker := range region.workerByTask {
		job := region.specs[task[:len("run-000000")]]
		if job.Team == team && !worker.stopped && worker.machine.Holds(task) {
			sum += job.GPUs
		}
	}
	return sum
}

// usedBy returns the number of GPUs that a team's tasks use in all regions.
func (sim *regionSimulation) usedBy(team string) float64 {
	sum := 0.0
	for _, region := range sim.regions {
		sum += region.used(team)
	}
	return sum
}

// account returns a team's account in a region's store, or nil if there is none yet.
func (region *simulatedRegion) account(team string) *quota.Account {
	item, got := region.store.Get("w/q/" + team)
	if got != outcome.OK {
		return nil
	}
	a, err := quota.Decode(item.Value)
	if err != nil {
		region.t.Fatal(err)
	}
	return a
}

// highestLimit returns the limit that the regions together may use: the highest one while their settings differ.
func (sim *regionSimulation) highestLimit() float64 {
	limit := 0.0
	for _, region := range sim.regions {
		limit = max(limit, region.limit)
	}
	return limit
}

// check checks that no team exceeds its limit, and that the shares of each team add up to the total.
func (sim *regionSimulation) check() {
	sim.t.Helper()
	for _, team := range []string{"t1", "t2"} {
		sim.overshoot = max(sim.overshoot, sim.usedBy(team)-sim.highestLimit())
		if sim.overshoot > 0 {
			sim.t.Fatalf("%v: team %s: got %g GPUs in use, want at most its limit", sim.regions[0].now, team, sim.usedBy(team))
		}
		sim.checkTotal(team)
	}
}

// checkTotal checks that the shares of a team's accounts and those in transfer add up to the total.
func (sim *regionSimulation) checkTotal(team string) {
	accounts := map[string]*quota.Account{}
	for _, region := range sim.regions {
		a := region.account(team)
		if a == nil {
			return
		}
		accounts[regionName(region.number)] = a
	}
	var sum quota.Share
	for _, a := range accounts {
		sum = sum.Plus(a.Held)
		for _, t := range a.Outgoing {
			if accounts[t.To].Received[t.From] < t.Number {
				sum = sum.Plus(t.Share)
			}
		}
	}
	if total := accounts[regionName(0)].Total; sum != total {
		sim.t.Fatalf("%v: sum of shares: got %+v for team %s, want %+v", sim.regions[0].now, sum, team, total)
	}
}

// waitForFullUse runs the simulation until a team uses its whole limit, and 6 s longer, since late messages might still
// lead to more.
func (sim *regionSimulation) waitForFullUse(team string) {
	sim.t.Helper()
	sim.waitUntil("the whole limit is used", func() bool { return sim.usedBy(team) == sim.highestLimit() })
	sim.advance(6 * time.Second)
	if used := sim.usedBy(team); used != sim.highestLimit() {
		sim.t.Fatalf("team %s: got %g GPUs in use 6 s after its whole limit was used, want the limit", team, used)
	}
}
