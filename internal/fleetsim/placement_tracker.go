package fleetsim

import (
	"slices"
	"sync"
	"time"

	"bitternwing/internal/simworker"
	"bitternwing/internal/wire"
)

// SpreadResult summarizes the cold starts of services and the spread of their replicas over zones.
type SpreadResult struct {
	ColdStarts  int     `json:"cold_starts"`  // starts of replicas that waited for their weights
	ColdSeconds float64 `json:"cold_seconds"` // sum of the waiting times
	// Fetches and FetchSeconds count all image fetches of the workers, for services and arrays.
	Fetches      int64   `json:"fetches"`
	FetchSeconds float64 `json:"fetch_seconds"`
	// WorstZone is the share of a model's replicas in the zone with the most of them. It is the mean over all models
	// with several replicas and over the seconds before a zone loss.
	WorstZone       float64 `json:"worst_zone"`
	LostZone        string  `json:"lost_zone"`      // the zone that the fault killed; "" if none
	LostShare       float64 `json:"taken"`          // share of the replicas of the model that lost the most
	LostReplicaS    float64 `json:"lost_replica_s"` // replica seconds missing from the loss until full service
	FullServiceS    float64 `json:"full_service_s"` // from the loss; 0 if not reached, or if no zone was lost
	MinServingShare float64 `json:"least_serving"`  // lowest share of the desired replicas after the loss
	ReplicasAtEnd   int     `json:"replicas_at_the_end"`
}

// coldStartThreshold is the start duration above which a start counts as cold. A warm start takes until the next tick
// of the worker.
const coldStartThreshold = 100 * time.Millisecond

// placementTracker records in which zones the replicas of services run, and the effect of a zone loss.
type placementTracker struct {
	now    func() time.Duration
	zoneOf func(machine string) string

	mu              sync.Mutex
	services        map[string]*wire.Job
	desiredReplicas int
	startCommandAt  map[string]time.Duration
	runningZones    map[string]string // zones by task
	result          SpreadResult
	spreadSamples   int
	zoneLostAt      time.Duration
	lastSampleAt    time.Duration
	// missingBeforeLoss is the number of missing replicas in each of the last seconds before the loss. It is seldom 0,
	// as new services arrive all the time and their replicas take a while to start.
	missingBeforeLoss []int
}

// missingHistorySize is the length of missingBeforeLoss in seconds.
const missingHistorySize = 10

func newPlacementTracker(now func() time.Duration, zoneOf func(machine string) string) *placementTracker {
	return &placementTracker{now: now, zoneOf: zoneOf, services: map[string]*wire.Job{}, startCommandAt: map[string]time.Duration{}, runningZones: map[string]string{}}
}

// addService records a submitted job if it is a service. Its replicas count as desired from now on.
func (t *placementTracker) addService(job *wire.Job) {
	if job.Kind != wire.KindService {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.services[job.ID] = job
	t.desiredReplicas += job.Tasks
}

// startReceived records the time at which a worker receives a start command.
func (t *placementTracker) startReceived(start simworker.Start) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.startCommandAt[start.Task] = t.now()
}

// taskRuns records that a replica runs, and whether its start was cold.
func (t *placementTracker) taskRuns(machine, task string) {
	zone := t.zoneOf(machine)
	t.mu.Lock()
	defer t.mu.Unlock()
	id, _, _ := wire.ParseTaskName(task)
	if t.services[id] == nil {
		return
	}
	t.runningZones[task] = zone
	if waited := t.now() - t.startCommandAt[task]; waited > coldStartThreshold {
		t.result.ColdStarts++
		t.result.ColdSeconds += waited.Seconds()
	}
}

// taskEnds records that a replica no longer runs.
func (t *placementTracker) taskEnds(task string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.runningZones, task)
}

// replicasByModel counts the running replicas by model and zone.
func (t *placementTracker) replicasByModel() map[string]map[string]int {
	models := map[string]map[string]int{}
	for task, zone := range t.runningZones {
		id, _, _ := wire.ParseTaskName(task)
		job := t.services[id]
		model := job.Team + " " + job.Image
		if models[model] == nil {
			models[model] = map[string]int{}
		}
		models[model][zone]++
	}
	return models
}

// largestZone returns the zone with the most replicas of a model, the number of replicas there, and the model's total.
func largestZone(zones map[string]int) (zone string, largest, total int) {
	for name, replicas := range zones {
		total += replicas
		if replicas > largest || replicas == largest && name < zone {
			zone, largest = name, replicas
		}
	}
	return zone, largest, total
}

// sample records the current spread, or the recovery after a zone loss. It is called once a second.
func (t *placementTracker) sample() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	elapsedS := (now - t.lastSampleAt).Seconds()
	t.lastSampleAt = now
	if t.zoneLostAt > 0 {
		t.sampleRecovery(now, elapsedS)
		return
	}
	t.missingBeforeLoss = append(t.missingBeforeLoss, t.missingReplicas())
	t.missingBeforeLoss = t.missingBeforeLoss[max(0, len(t.missingBeforeLoss)-missingHistorySize):]
	sum, models := 0.0, 0
	for _, zones := range t.replicasByModel() {
		if _, largest, total := largestZone(zones); total > 1 {
			sum += float64(largest) / float64(total)
			models++
		}
	}
	if models > 0 {
		t.result.WorstZone += sum / float64(models)
		t.spreadSamples++
	}
}

// missingReplicas returns how many desired replicas do not run.
func (t *placementTracker) missingReplicas() int {
	return max(0, t.desiredReplicas-len(t.runningZones))
}

// sampleRecovery sums up the missing replicas until there are no more than before the loss.
func (t *placementTracker) sampleRecovery(now time.Duration, elapsedS float64) {
	if t.result.FullServiceS > 0 || t.desiredReplicas == 0 {
		return
	}
	missing := t.missingReplicas()
	t.result.LostReplicaS += float64(missing) * elapsedS
	t.result.MinServingShare = min(t.result.MinServingShare, float64(len(t.runningZones))/float64(t.desiredReplicas))
	if missing <= slices.Max(append(t.missingBeforeLoss, 0)) {
		t.result.FullServiceS = (now - t.zoneLostAt).Seconds()
	}
}

// recordWorstZoneLoss records the loss of the zone with the most replicas of a single model, and returns the zone.
func (t *placementTracker) recordWorstZoneLoss() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	lost := 0
	for _, zones := range t.replicasByModel() {
		if zone, largest, total := largestZone(zones); largest > lost || largest == lost && zone < t.result.LostZone {
			lost = largest
			t.result.LostZone, t.result.LostShare = zone, float64(largest)/float64(total)
		}
	}
	t.zoneLostAt, t.result.MinServingShare = t.now(), 1
	return t.result.LostZone
}

// summary returns the result, including the fetches that the workers counted.
func (t *placementTracker) summary(fleet *simworker.Fleet) SpreadResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	result := t.result
	if t.spreadSamples > 0 {
		result.WorstZone /= float64(t.spreadSamples)
	}
	fetches, duration := fleet.Fetches()
	result.Fetches, result.FetchSeconds = fetches, duration.Seconds()
	result.ReplicasAtEnd = len(t.runningZones)
	return result
}
