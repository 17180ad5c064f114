// Package topologyspread compares the time to load a model's weights with the expected loss of replicas when a zone or
// a machine fails. Both are in seconds of replica time. The package is pure: it keeps no clock and makes no calls.
package topologyspread

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Model identifies the replicas that are spread together: those of all services of a team that use the same image.
type Model struct{ Team, Image string }

// domainCounter counts replicas by failure domain and keeps track of the highest count.
type domainCounter struct {
	countByDomain  map[string]int
	domainsByCount map[int]int // number of domains by replica count
	highest        int
}

func newDomainCounter() domainCounter {
	return domainCounter{countByDomain: map[string]int{}, domainsByCount: map[int]int{}}
}

// add adds replicas to a domain. A negative delta removes them.
func (c *domainCounter) add(domain string, delta int) {
	before := c.countByDomain[domain]
	after := before + delta
	c.adjustDomains(before, -1)
	c.adjustDomains(after, 1)
	if c.countByDomain[domain] = after; after == 0 {
		delete(c.countByDomain, domain)
	}
	c.highest = max(c.highest, after)
	for c.highest > 0 && c.domainsByCount[c.highest] == 0 {
		c.highest--
	}
}

// adjustDomains changes the number of domains that have count replicas. Domains without replicas are not counted.
func (c *domainCounter) adjustDomains(count, delta int) {
	if count == 0 {
		return
	}
	if c.domainsByCount[count] += delta; c.domainsByCount[count] == 0 {
		delete(c.domainsByCount, count)
	}
}

// modelReplicas holds the replica counts of a model.
type modelReplicas struct {
	zones, machines domainCounter
	total           int
}

// ReplicaCounts holds the replica counts of all models by zone and machine. It is updated incrementally.
type ReplicaCounts struct {
	models      map[Model]*modelReplicas
	changeCount uint64
}

// ChangeCount returns the number of changes so far. Callers use it to detect that cached results are outdated.
func (c *ReplicaCounts) ChangeCount() uint64 { return c.changeCount }

// NewReplicaCounts returns counts without replicas.
func NewReplicaCounts() *ReplicaCounts { return &ReplicaCounts{models: map[Model]*modelReplicas{}} }

// Add adds a replica on a machine. A replica in an unknown zone ("") counts in no zone.
func (c *ReplicaCounts) Add(model Model, zone, machine string) { c.add(model, zone, machine, 1) }

// Remove removes a replica on a machine.
func (c *ReplicaCounts) Remove(model Model, zone, machine string) { c.add(model, zone, machine, -1) }

// Move moves a replica on a machine to another zone, when the zone of the machine becomes known.
func (c *ReplicaCounts) Move(model Model, from, to, machine string) {
	c.Remove(model, from, machine)
	c.Add(model, to, machine)
}

func (c *ReplicaCounts) add(model Model, zone, machine string, delta int) {
	c.changeCount++
	replicas := c.models[model]
	if replicas == nil {
		replicas = &modelReplicas{zones: newDomainCounter(), machines: newDomainCounter()}
		c.models[model] = replicas
	}
	if zone != "" {
		replicas.zones.add(zone, delta)
	}
	replicas.machines.add(machine, delta)
	if replicas.total += delta; replicas.total == 0 {
		delete(c.models, model)
	}
}

// Replicas returns the number of replicas of a model, and the highest number in a single zone and on a single machine.
func (c *ReplicaCounts) Replicas(model Model) (total, maxInZone, maxOnMachine int) {
	replicas := c.models[model]
	if replicas == nil {
		return 0, 0, 0
	}
	return replicas.total, replicas.zones.highest, replicas.machines.highest
}

// ModelCount returns the number of models that have replicas.
func (c *ReplicaCounts) ModelCount() int { return len(c.models) }

// FailureRates are the expected failure rates and the expected lifetime of a replica's placement.
type FailureRates struct {
	ZoneLossesPerDay    float64
	MachineLossesPerDay float64
	ReplicaLifetimeDays float64
}

// DomainCounts is the number of failure domains over which the replicas of a model can be spread.
type DomainCounts struct{ Zones, Machines int }

// Costs are the expected losses from the placement of a model's next replica. The failure of a zone always takes at
// least the balanced share, which is the number of replicas divided by the number of zones, rounded up. Only replicas
// above that share are an avoidable loss and have a cost. The same applies to machines.
type Costs struct {
	replicas       *modelReplicas
	zoneShare      int
	machineShare   int
	zoneExcessS    float64 // of each replica above the balanced share of a zone
	machineExcessS float64 // of each replica above the balanced share of a machine
	maxZoneCount   int
}

// CostsFor returns the costs of a model's next replica. recovery is the time for which a replica is lost after a
// failure: until the failure is detected and the weights are loaded on another machine.
func (c *ReplicaCounts) CostsFor(model Model, rates FailureRates, domains DomainCounts, recovery time.Duration) Costs {
	lossS := rates.ReplicaLifetimeDays * recovery.Seconds()
	costs := Costs{replicas: c.models[model], zoneExcessS: rates.ZoneLossesPerDay * lossS, machineExcessS: rates.MachineLossesPerDay * lossS}
	total := 1
	if costs.replicas != nil {
		total += costs.replicas.total
		costs.maxZoneCount = costs.replicas.zones.highest
	}
	costs.zoneShare, costs.machineShare = balancedShare(total, domains.Zones), balancedShare(total, domains.Machines)
	return costs
}

// balancedShare returns the highest count of any domain when the replicas are balanced over the domains.
func balancedShare(total, domains int) int {
	domains = max(1, domains)
	return (total + domains - 1) / domains
}

// ZoneLossS returns the expected loss in seconds from one more replica in a zone, to the extent that the zone then
// exceeds the balanced share. An unknown zone counts as the zone with the most replicas.
func (c Costs) ZoneLossS(zone string) float64 {
	current := 0
	switch {
	case c.replicas == nil:
	case zone == "":
		current = c.maxZoneCount
	default:
		current = c.replicas.zones.countByDomain[zone]
	}
	return c.zoneExcessS * float64(max(0, current+1-c.zoneShare))
}

// Crowded reports whether one more replica on a machine would exceed the balanced share of a machine, at the cost of
// MachineLossS.
func (c Costs) Crowded(machine string) bool {
	return c.replicas != nil && c.replicas.machines.countByDomain[machine] >= c.machineShare
}

// MachineLossS returns the expected loss in seconds from one more replica on a crowded machine.
func (c Costs) MachineLossS() float64 { return c.machineExcessS }

// ZoneToDrain returns the zone with the most replicas of a model if it exceeds the balanced share and another zone has
// at least two replicas fewer; otherwise "". Each move from that zone to the one with the fewest replicas reduces the
// sum of squares of the zone counts, so the moves terminate.
func (c *ReplicaCounts) ZoneToDrain(model Model, zones []string) string {
	replicas := c.models[model]
	if replicas == nil {
		return ""
	}
	fullest, lowest := "", replicas.total
	for _, zone := range zones {
		count := replicas.zones.countByDomain[zone]
		lowest = min(lowest, count)
		if fullest == "" || count > replicas.zones.countByDomain[fullest] {
			fullest = zone
		}
	}
	if count := replicas.zones.countByDomain[fullest]; count <= balancedShare(replicas.total, len(zones)) || lowest > count-2 {
		return ""
	}
	return fullest
}

// SortedModels returns the models that have replicas, sorted by team and image.
func (c *ReplicaCounts) SortedModels() []Model {
	return slices.SortedFunc(maps.Keys(c.models), func(a, b Model) int {
		return cmp.Or(strings.Compare(a.Team, b.Team), strings.Compare(a.Image, b.Image))
	})
}

// ExpectedLoadSeconds returns how long a replica is expected to wait for its weights, by the state of its image. An
// image that is being fetched takes half of the load time on average. An image that shares the fetch rate of the
// machine with another takes twice the load time.
func ExpectedLoadSeconds(imageState int, loadS float64) float64 {
	return loadS * [...]float64{imageReady: 0, imageFetching: 0.5, imageAbsent: 1, imageFetchShared: 2}[imageState]
}

// The image states. Their values are those of capacity.ImageState.
const (
	imageReady = iota
	imageFetching
	imageAbsent
	imageFetchShared
)
