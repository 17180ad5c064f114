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

// regionWorld is several regions, each with three controllers, a state service and machines of its own, that share the
// limits of two teams. At each step it checks that no team uses more than its limit in all regions together, and that
// what the regions hold of it and what is on its way add up to the whole.
type regionWorld struct {
	test    testReporter
	regions []*worldRegion
	// cutLinks tells whether messages from one region to another are lost.
	cutLinks       map[[2]int]bool
	repeatMessages bool // messages come twice, the second time late
	messages       []regionMessage
	submittedJobs  int
	machines       int // in each region

	overshoot float64 // the most GPUs that a team used beyond its limit
	transfers int     // messages of transfers
}

// worldRegion is one of the regions.
type worldRegion struct {
	*scaleCluster
	storeFaults
	number         int
	limit          float64                        // of each team, by its settings
	pending        map[uint64]func(core.Response) // answers that other regions wait for
	unacceptedJobs []string                       // jobs that are not known to be accepted: users hand them in again
	submittedAt    time.Duration                  // when they did
}

const (
	regionGuarantee = 24 // GPUs of each team
	regionLimit     = 48
	regionLatency   = 40 * time.Millisecond
	regionMachines  = 16 // of 8 GPUs each
)

func regionName(i int) string { return fmt.Sprintf("region-%d", i) }

// newRegionWorld has regions with equal parts of two teams' limits, and room for both limits in each.
func newRegionWorld(t testReporter, regions int) *regionWorld {
	return newRegionWorldOf(t, regions, regionMachines)
}

// newRegionWorldOf has so many machines in each region.
func newRegionWorldOf(t testReporter, regions, machines int) *regionWorld {
	world := &regionWorld{test: t, cutLinks: map[[2]int]bool{}, machines: machines}
	for i := range regions {
		world.regions = append(world.regions, world.newRegion(i, regions))
	}
	world.advance(15 * time.Second)
	return world
}

func (world *regionWorld) newRegion(number, regions int) *worldRegion {
	region := &worldRegion{scaleCluster: newScaleCluster(world.test, 3, 0), number: number, limit: regionLimit, pending: map[uint64]func(core.Response){}}
	region.digest = newOutputDigest()
	region.operator.IdleBoots = 100
	region.operator.Regions = config.Regions{Name: regionName(number)}
	for i := range regions {
		region.operator.Regions.All = append(region.operator.Regions.All, config.Region{Name: regionName(i), Share: 1 / float64(regions)})
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
		answered := region.pending[response.RequestID]
		delete(region.pending, response.RequestID)
		if answered != nil {
			answered(response)
		}
		return answered != nil
	}
	region.restartNodes()
	region.addMachines(world.machines, "z1", "z2")
	return region
}

// advance lets time pass in all regions, and checks at each step.
func (world *regionWorld) advance(d time.Duration) {
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

// submit has users hand in services of one task in a region.
func (world *regionWorld) submit(region int, team string, tasks int, gpus float64) []string {
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

// submitFor hands in services and waits until all are accepted.
func (world *regionWorld) submitFor(region int, team string, tasks int, gpus float64) []string {
	world.test.Helper()
	ids := world.submit(region, team, tasks, gpus)
	world.waitUntil("all are accepted", func() bool { return len(world.regions[region].unacceptedJobs) == 0 })
	return ids
}

// resubmit has users hand in once a second what is not accepted.
func (region *worldRegion) resubmit() {
	if region.now < region.submittedAt+time.Second {
		return
	}
	region.submittedAt = region.now
	region.unacceptedJobs = slices.DeleteFunc(region.unacceptedJobs, region.accepted)
	for _, id := range region.unacceptedJobs {
		region.submitAt(region.nodes[int(region.now/time.Second)%3], region.specs[id])
	}
}

// accepted tells whether a job is there, or was.
func (region *worldRegion) accepted(id string) bool {
	_, active := region.store.Get("w/a/" + id)
	_, ended := region.store.Get("f/" + id)
	return active == outcome.OK || ended == outcome.OK
}

// cancel has users cancel jobs, again until that is written.
func (world *regionWorld) cancel(region int, ids []string) {
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

// setLimit gives a region's controllers another limit of each team in their settings, and starts them anew.
func (world *regionWorld) setLimit(region int, limit float64) {
	world.regions[region].limit = limit
	for i, node := range world.regions[region].nodes {
		world.regions[region].startNode(i)
		world.regions[region].step(node, core.Tick{})
	}
	world.advance(8 * time.Second)
}

// waitUntil lets time pass until something holds.
func (world *regionWorld) waitUntil(what string, holds func() bool) time.Duration {
	world.test.Helper()
	begin := world.regions[0].now
	for range 1200 {
		if holds() {
			return world.regions[0].now - begin
		}
		world.advance(100 * time.Millisecond)
	}
	world.test.Fatalf("never: %s", what)
	return 0
}

// cutOff loses, or no longer loses, the messages between a region and all others.
func (world *regionWorld) cutOff(region int, cut bool) {
	for i := range world.regions {
		world.cutLinks[[2]int{region, i}], world.cutLinks[[2]int{i, region}] = cut, cut
	}
}

// heal ends all troubles.
func (world *regionWorld) heal() {
	clear(world.cutLinks)
	world.repeatMessages = false
	for _, region := range world.regions {
		region.endStoreFaults()
		region.commitHeld(region.store)
		region.frozenNode = ""
	}
}
