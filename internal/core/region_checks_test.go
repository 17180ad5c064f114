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
func (world *regionSimulation) usedBy(team string) float64 {
	sum := 0.0
	for _, region := range world.regions {
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
func (world *regionSimulation) highestLimit() float64 {
	limit := 0.0
	for _, region := range world.regions {
		limit = max(limit, region.limit)
	}
	return limit
}

// check checks that no team exceeds its limit, and that the shares of each team add up to the total.
func (world *regionSimulation) check() {
	world.test.Helper()
	for _, team := range []string{"t1", "t2"} {
		world.overshoot = max(world.overshoot, world.usedBy(team)-world.highestLimit())
		if world.overshoot > 0 {
			world.test.Fatalf("%v: team %s uses %g GPUs, more than its limit", world.regions[0].now, team, world.usedBy(team))
		}
		world.checkTotal(team)
	}
}

// checkTotal checks that the shares of a team's accounts and those in transfer add up to the total.
func (world *regionSimulation) checkTotal(team string) {
	accounts := map[string]*quota.Account{}
	for _, region := range world.regions {
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
		world.test.Fatalf("%v: shares add up to %+v for team %s, want %+v", world.regions[0].now, sum, team, total)
	}
}

// waitForFullUse runs the simulation until a team uses its whole limit, and 6 s longer, since late messages might still
// lead to more.
func (world *regionSimulation) waitForFullUse(team string) {
	world.test.Helper()
	world.waitUntil("the whole limit is used", func() bool { return world.usedBy(team) == world.highestLimit() })
	world.advance(6 * time.Second)
	if used := world.usedBy(team); used != world.highestLimit() {
		world.test.Fatalf("team %s uses %g GPUs 6 s after it used its whole limit", team, used)
	}
}
