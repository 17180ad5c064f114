package core_test

import (
	"fmt"
	"slices"
	"time"

	"bitternwing/internal/config"
	"bitternwing/internal/core"
	"bitternwing/internal/outcome"
	"bitternwing/internal/wire"
)

// regionSimulation is a simulation of several regions that share the limits of two teams. Each region has three controllers,
// a store and machines of its own. At each step it checks that no team exceeds its limit in all regions together, and
// that the shares that the regions hold and those in transfer add up to the total.
type regionSimulation struct {
	test    testReporter
	regions []*simulatedRegion
	// cutLinks holds the pairs of sender and receiver between which messages are lost.
	cutLinks          map[[2]int]bool
	duplicateMessages bool // messages are delivered twice, the second time late
	messages          []regionMessage
	submittedJobs     int
	machines          int // in each region

	overshoot float64 // largest number of GPUs that a team used beyond its limit
	transfers int     // number of deliveries sent
}

// simulatedRegion is one of the simulated regions.
type simulatedRegion struct {
	*scaleCluster
	storeFaults
	number           int
	limit            float64                        // of each team, in the region's settings
	responseHandlers map[uint64]func(core.Response) // handlers of the responses to other regions' messages, by request
	unacceptedJobs   []string                       // jobs that are submitted again until they are accepted
	submittedAt      time.Duration                  // when they were last submitted
}

const (
	regionGuarantee = 24 // GPUs of each team
	regionLimit     = 48
	regionLatency   = 40 * time.Millisecond
	regionMachines  = 16 // of 8 GPUs each
)

// regionName returns the name of a region.
func regionName(i int) string { return fmt.Sprintf("region-%d", i) }

// newRegionSimulation returns regions with equal shares of two teams' limits. Each region has enough machines
// for the limits of both teams.
func newRegionSimulation(t testReporter, regions int) *regionSimulation {
	return newRegionSimulationOf(t, regions, regionMachines)
}

// newRegionSimulationOf is like newRegionSimulation with the given number of machines in each region.
func newRegionSimulationOf(t testReporter, regions, machines int) *regionSimulation {
	world := &regionSimulation{test: t, cutLinks: map[[2]int]bool{}, machines: machines}
	for i := range regions {
		world.regions = append(world.regions, world.newRegion(i, regions))
	}
	world.advance(15 * time.Second)
	return world
}

// newRegion returns the region with the given number.
func (world *regionSimulation) newRegion(number, regions int) *simulatedRegion {
	region := &simulatedRegion{scaleCluster: newScaleCluster(world.test, 3, 0), number: number, limit: regionLimit, responseHandlers: map[uint64]func(core.Response){}}
	region.digest = newOutputDigest()
	region.operator.IdleTimeoutBoots = 100
	region.operator.Regions = config.Regions{Name: regionName(number)}
	for i := range regions {
		region.operator.Regions.All = append(region.operator.Regions.All, config.Region{Name: regionName(i), InitialShare: 1 / float64(regions)})
	}
	region.adjustParams = func(p *config.Params) {
		p.Teams = []config.Team{{Name: "t1", GuaranteedGPUs: regionGuarantee, MaxGPUs: region.limit}, {Name: "t2", GuaranteedGPUs: regionGuarantee, MaxGPUs: region.limit}}
	}
	region.interceptEffect = func(node *scaleNode, effect core.Effect) (core.Result, bool) {
		if e, ok := effect.(core.CallRegion); ok {
			world.send(region, node, e)
			return core.Result{}, false
		}
		return region.interceptStoreCall(node.name, region.store, effect)
	}
	region.onResponse = func(response core.Response) bool {
		answered := region.responseHandlers[response.RequestID]
		delete(region.responseHandlers, response.RequestID)
		if answered != nil {
			answered(response)
		}
		return answered != nil
	}
	region.restartNodes()
	region.addMachines(world.machines, "z1", "z2")
	return region
}

// advance runs the simulation of all regions for a while, and checks the invariants at each step.
func (world *regionSimulation) advance(d time.Duration) {
	world.test.Helper()
	for end := world.regions[0].now + d; world.regions[0].now < end; {
		for _, region := range world.regions {
			region.runFor(scaleStep)
		}
		world.deliverMessages()
		world.check()
		for _, region := range world.regions {
			region.resubmit()
		}
	}
}

// submit submits services of one task in a region and returns their IDs.
func (world *regionSimulation) submit(region int, team string, tasks int, gpus float64) []string {
	var ids []string
	r := world.regions[region]
	for range tasks {
		world.submittedJobs++
		id := fmt.Sprintf("run-%06d", world.submittedJobs)
		r.submitAt(r.nodes[world.submittedJobs%3], &wire.Job{ID: id, Kind: wire.KindService, Class: "c", Team: team, Tasks: 1, CPUs: 4, GPUs: gpus, MemoryGB: 20,
			Priority: "prod", Image: "img-1", ImageGB: 4})
		ids = append(ids, id)
	}
	r.unacceptedJobs = append(r.unacceptedJobs, ids...)
	return ids
}

// submitAndWait submits services and waits until all are accepted.
func (world *regionSimulation) submitAndWait(region int, team string, tasks int, gpus float64) []string {
	world.test.Helper()
	ids := world.submit(region, team, tasks, gpus)
	world.waitUntil("all jobs are accepted", func() bool { return len(world.regions[region].unacceptedJobs) == 0 })
	return ids
}

// resubmit submits the jobs that are not accepted again, once a second.
func (region *simulatedRegion) resubmit() {
	if region.now < region.submittedAt+time.Second {
		return
	}
	region.submittedAt = region.now
	region.unacceptedJobs = slices.DeleteFunc(region.unacceptedJobs, region.accepted)
	for _, id := range region.unacceptedJobs {
		region.submitAt(region.nodes[int(region.now/time.Second)%3], region.specs[id])
	}
}

// accepted reports whether a job is active or has ended.
func (region *simulatedRegion) accepted(id string) bool {
	_, active := region.store.Get("w/a/" + id)
	_, ended := region.store.Get("f/" + id)
	return active == outcome.OK || ended == outcome.OK
}

// cancel cancels jobs, repeatedly until the store has their final states.
func (world *regionSimulation) cancel(region int, ids []string) {
	r := world.regions[region]
	for _, id := range ids {
		for range 50 {
			if _, got := r.store.Get("f/" + id); got == outcome.OK {
				break
			}
			r.lastRequest++
			r.step(r.nodes[world.submittedJobs%3], core.CancelJob{RequestID: r.lastRequest << 16, ID: id})
			world.advance(100 * time.Millisecond)
		}
	}
}

// setLimit changes the limit of each team in the settings of a region's controllers, and restarts them.
func (world *regionSimulation) setLimit(region int, limit float64) {
	world.regions[region].limit = limit
	for i, node := range world.regions[region].nodes {
		world.regions[region].startNode(i)
		world.regions[region].step(node, core.Tick{})
	}
	world.advance(8 * time.Second)
}

// waitUntil runs the simulation until a condition holds, and returns how long that took.
func (world *regionSimulation) waitUntil(condition string, holds func() bool) time.Duration {
	world.test.Helper()
	begin := world.regions[0].now
	for range 1200 {
		if holds() {
			return world.regions[0].now - begin
		}
		world.advance(100 * time.Millisecond)
	}
	world.test.Fatalf("not reached within 2 minutes: %s", condition)
	return 0
}

// setPartitioned starts or ends a partition between a region and all others.
func (world *regionSimulation) setPartitioned(region int, partitioned bool) {
	for i := range world.regions {
		world.cutLinks[[2]int{region, i}], world.cutLinks[[2]int{i, region}] = partitioned, partitioned
	}
}

// heal ends all faults and applies the delayed writes.
func (world *regionSimulation) heal() {
	clear(world.cutLinks)
	world.duplicateMessages = false
	for _, region := range world.regions {
		region.endStoreFaults()
		region.commitDelayed(region.store)
		region.frozenNode = ""
	}
}
