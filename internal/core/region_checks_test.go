package core_test

import (
	"time"

	"bitternwing/internal/outcome"
	"bitternwing/internal/quota"
)

// used adds up what a team's tasks have on the machines of a region.
func (region *worldRegion) used(team string) float64 {
	sum := 0.0
	for task, holder := range region.workerByTask {
		job := region.specs[task[:len("run-000000")]]
		if job.Team == team && !holder.stopped && holder.machine.Holds(task) {
			sum += job.GPUs
		}
	}
	return sum
}

// usedBy adds up what a team's tasks have in all regions.
func (world *regionWorld) usedBy(team string) float64 {
	sum := 0.0
	for _, region := range world.regions {
		sum += region.used(team)
	}
	return sum
}

// account gives a team's account as a region's state service holds it; nil: there is none yet.
func (region *worldRegion) account(team string) *quota.Account {
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

// limit gives the limit that is in force: a change is once all regions have it, and until then the higher one counts.
func (world *regionWorld) limit() float64 {
	limit := 0.0
	for _, region := range world.regions {
		limit = max(limit, region.limit)
	}
	return limit
}

// check checks the limits, and that nothing of them is lost or made.
func (world *regionWorld) check() {
	world.test.Helper()
	for _, team := range []string{"t1", "t2"} {
		world.overshoot = max(world.overshoot, world.usedBy(team)-world.limit())
		if world.overshoot > 0 {
			world.test.Fatalf("%v: %s uses %g GPUs", world.regions[0].now, team, world.usedBy(team))
		}
		world.checkSum(team)
	}
}

// checkSum checks that the accounts of a team, with what is on its way between them, add up to the whole.
func (world *regionWorld) checkSum(team string) {
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
	if whole := accounts[regionName(0)].Whole; sum != whole {
		world.test.Fatalf("%v: the regions have %+v of %s, not %+v", world.regions[0].now, sum, team, whole)
	}
}

// usesAll lets time pass until a team uses all of its limit, and some more, since a late message may yet bring too much.
func (world *regionWorld) usesAll(team string) {
	world.test.Helper()
	world.waitUntil("all of the limit is used", func() bool { return world.usedBy(team) == world.limit() })
	world.advance(6 * time.Second)
	if used := world.usedBy(team); used != world.limit() {
		world.test.Fatalf("%s uses %g GPUs a while later", team, used)
	}
}
