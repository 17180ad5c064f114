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

// regionSimulation is a simulation of several regions that share the limits of two teams. Each region has three
// controllers, a store and machines of its own. At each step it checks that no team exceeds its limit in all regions
// together, and that the shares that the regions hold and those in transfer add up to the total.
type regionSimulation struct {
	t       testReporter
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
	sim := &regionSimulation{t: t, cutLinks: map[[2]int]bool{}, machines: machines}
	for i := range regions {
		sim.regions = append(sim.regions, sim.newRegion(i, regions))
	}
	sim.advance(15 * time.Second)
	return sim
}

// newRegion returns the region with the given number.
func (sim *regionSimulation) newRegion(number, regions int) *simulatedRegion {
	region := &simulatedRegion{scaleCluster: newScaleCluster(sim.t, 3, 0), number: number, limit: regionLimit, responseHandlers: map[uint64]func(core.Response){}}
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
			sim.send(region, node, e)
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
	region.addMachines(sim.machines, "z1", "z2")
	return region
}

// advance runs the simulation of all regions for a while, and checks the invariants at each step.
func (sim *regionSimulation) advance(d time.Duration) {
	sim.t.Helper()
	for end := sim.regions[0].now + d; sim.regions[0].now < end; {
		for _, region := range sim.regions {
			region.runFor(scaleStep)
		}
		sim.deliverMessages()
		sim.check()
		for _, region := range sim.regions {
			region.resubmit()
		}
	}
}

// submit submits services of one task in a region and returns their IDs.
func (sim *regionSimulation) submit(region int, team string, tasks int, gpus float64) []string {
	var ids []string
	r := sim.regions[region]
	for range tasks {
		sim.submittedJobs++
		id := fmt.Sprintf("run-%06d", sim.submittedJobs)
		r.submitAt(r.nodes[sim.submittedJobs%3], &wire.Job{ID: id, Kind: wire.KindService, Class: "c", Team: team, Tasks: 1, CPUs: 4, GPUs: gpus, MemoryGB: 20,
			Priority: "prod", Image: "img-1", ImageGB: 4})
		ids = append(ids, id)
	}
	r.unacceptedJobs = append(r.unacceptedJobs, ids...)
	return ids
}

// submitAndWait submits services and waits until all are accepted.
func (sim *regionSimulation) submitAndWait(region int, team string, tasks int, gpus float64) []string {
	sim.t.Helper()
	ids := sim.submit(region, team, tasks, gpus)
	sim.waitUntil("all jobs are accepted", func() bool { return len(sim.regions[region].unacceptedJobs) == 0 })
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
func (sim *regionSimulation) cancel(region int, ids []string) {
	r := sim.regions[region]
	for _, id := range ids {
		for range 50 {
			if _, got := r.store.Get("f/" + id); got == outcome.OK {
				break
			}
			r.lastRequest++
			r.step(r.nodes[sim.submittedJobs%3], core.CancelJob{RequestID: r.lastRequest << 16, ID: id})
			sim.advance(100 * time.Millisecond)
		}
	}
}

// setLimit changes the limit of each team in the settings of a region's controllers, and restarts them.
func (sim *regionSimulation) setLimit(region int, limit float64) {
	sim.regions[region].limit = limit
	for i, node := range sim.regions[region].nodes {
		sim.regions[region].startNode(i)
		sim.regions[region].step(node, core.Tick{})
	}
	sim.advance(8 * time.Second)
}

// waitUntil runs the simulation until a condition holds, and returns how long that took.
func (sim *regionSimulation) waitUntil(condition string, holds func() bool) time.Duration {
	sim.t.Helper()
	begin := sim.regions[0].now
	for range 1200 {
		if holds() {
			return sim.regions[0].now - begin
		}
		sim.advance(100 * time.Millisecond)
	}
	sim.t.Fatalf("not reached within 2 minutes: %s", condition)
	return 0
}

// setPartitioned starts or ends a partition between a region and all others.
func (sim *regionSimulation) setPartitioned(region int, partitioned bool) {
	for i := range sim.regions {
		sim.cutLinks[[2]int{region, i}], sim.cutLinks[[2]int{i, region}] = partitioned, partitioned
	}
}

// heal ends all faults and applies the delayed writes.
func (sim *regionSimulation) heal() {
	clear(sim.cutLinks)
	sim.duplicateMessages = false
	for _, region := range sim.regions {
		region.endStoreFaults()
		region.commitDelayed(region.store)
		region.frozenNode = ""
	}
}
