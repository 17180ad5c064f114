package fleetsim

import (
	"slices"
	"sync"
	"time"

	"bitternwing/internal/simworker"
	"bitternwing/internal/wire"
)

// SpreadResult summarizes the cold starts of a simulation's services, and their spread over zones.
type SpreadResult struct {
	ColdStarts  int     `json:"cold_starts"`  // replicas that waited for their weights
	ColdSeconds float64 `json:"cold_seconds"` // how long, all together
	// Fetches are counted by the workers themselves, for services and arrays.
	Fetches         int64   `json:"fetches"`
	FetchSeconds    float64 `json:"fetch_seconds"`
	WorstZone       float64 `json:"worst_zone"`     // share of a model's replicas that the loss of its worst zone takes: mean over models and seconds
	LostZone        string  `json:"lost_zone"`      // the one that was lost; "": none
	LostShare       float64 `json:"taken"`          // share of the replicas of the model that was hit worst
	LostReplicaS    float64 `json:"lost_replica_s"` // after the loss, until full service
	FullServiceS    float64 `json:"full_service_s"` // from the loss; 0: not reached, or nothing was lost
	MinServingShare float64 `json:"least_serving"`  // share of the replicas, after the loss
	ReplicasAtEnd   int     `json:"replicas_at_the_end"`
}

// coldStartThreshold is how long a start takes that counts as cold: a warm one takes until the next tick of the worker.
const coldStartThreshold = 100 * time.Millisecond

// placementTracker observes the placements of services' replicas.
type placementTracker struct {
	now    func() time.Duration
	zoneOf func(machine string) string

	mu       sync.Mutex
	jobs     map[string]*wire.Job
	desired  int // replicas
	started  map[string]time.Duration
	running  map[string]string // zones, by task
	result   SpreadResult
	samples  int
	lostAt   time.Duration
	sampleAt time.Duration
	// missingBefore are how many replicas were missing in each of the last seconds before the loss: jobs arrive all the time,
	// and each waits a while.
	missingBefore []int
}

// missingWindow is how many seconds before the loss are kept.
const missingWindow = 10

func newPlacementTracker(now func() time.Duration, zoneOf func(machine string) string) *placementTracker {
	return &placementTracker{now: now, zoneOf: zoneOf, jobs: map[string]*wire.Job{}, started: map[string]time.Duration{}, running: map[string]string{}}
}

// submitted adds a service. Its replicas are desired from then on.
func (t *placementTracker) submitted(job *wire.Job) {
	if job.Kind != wire.KindService {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.jobs[job.ID] = job
	t.desired += job.Tasks
}

// startReceived records the time of a replica's start command.
func (t *placementTracker) startReceived(start simworker.Start) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.started[start.Task] = t.now()
}

// taskRuns records that a replica runs, and how long its weights took.
func (t *placementTracker) taskRuns(machine, task string) {
	zone := t.zoneOf(machine)
	t.mu.Lock()
	defer t.mu.Unlock()
	id, _, _ := wire.ParseTaskName(task)
	if t.jobs[id] == nil {
		return
	}
	t.running[task] = zone
	if waited := t.now() - t.started[task]; waited > coldStartThreshold {
		t.result.ColdStarts++
		t.result.ColdSeconds += waited.Seconds()
	}
}

// taskEnds records that a replica no longer runs.
func (t *placementTracker) taskEnds(task string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, task)
}

// replicasByModel counts the replicas of each model by zone.
func (t *placementTracker) replicasByModel() map[string]map[string]int {
	models := map[string]map[string]int{}
	for task, zone := range t.running {
		id, _, _ := wire.ParseTaskName(task)
		job := t.jobs[id]
		model := job.Team + " " + job.Image
		if models[model] == nil {
			models[model] = map[string]int{}
		}
		models[model][zone]++
	}
	return models
}

// largestZone gives a model's zone with the most replicas, how many these are, and how many the model has in all.
func largestZone(zones map[string]int) (zone string, largest, total int) {
	for name, replicas := range zones {
		total += replicas
		if replicas > largest || replicas == largest && name < zone {
			zone, largest = name, replicas
		}
	}
	return zone, largest, total
}

// sample samples the present state, each second.
func (t *placementTracker) sample() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	passed := (now - t.sampleAt).Seconds()
	t.sampleAt = now
	if t.lostAt > 0 {
		t.afterLoss(now, passed)
		return
	}
	t.missingBefore = append(t.missingBefore, t.missing())
	t.missingBefore = t.missingBefore[max(0, len(t.missingBefore)-missingWindow):]
	sum, models := 0.0, 0
	for _, zones := range t.replicasByModel() {
		if _, largest, total := largestZone(zones); total > 1 {
			sum += float64(largest) / float64(total)
			models++
		}
	}
	if models > 0 {
		t.result.WorstZone += sum / float64(models)
		t.samples++
	}
}

// missing is how many replicas are desired and do not run.
func (t *placementTracker) missing() int { return max(0, t.desired-len(t.running)) }

// afterLoss counts the missing replicas until there are no more than before the loss.
func (t *placementTracker) afterLoss(now time.Duration, passed float64) {
	if t.result.FullServiceS > 0 || t.desired == 0 {
		return
	}
	missing := t.missing()
	t.result.LostReplicaS += float64(missing) * passed
	t.result.MinServingShare = min(t.result.MinServingShare, float64(len(t.running))/float64(t.desired))
	if missing <= slices.Max(append(t.missingBefore, 0)) {
		t.result.FullServiceS = (now - t.lostAt).Seconds()
	}
}

// worstZone gives the zone with the most replicas of a model, and records that it is lost now.
func (t *placementTracker) worstZone() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	lost := 0
	for _, zones := range t.replicasByModel() {
		if zone, largest, total := largestZone(zones); largest > lost || largest == lost && zone < t.result.LostZone {
			lost = largest
			t.result.LostZone, t.result.LostShare = zone, float64(largest)/float64(total)
		}
	}
	t.lostAt, t.result.MinServingShare = t.now(), 1
	return t.result.LostZone
}

// summary gives the result, with the counts of the workers.
func (t *placementTracker) summary(fleet *simworker.Fleet) SpreadResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	result := t.result
	if t.samples > 0 {
		result.WorstZone /= float64(t.samples)
	}
	fetches, duration := fleet.Fetches()
	result.Fetches, result.FetchSeconds = fetches, duration.Seconds()
	result.ReplicasAtEnd = len(t.running)
	return result
}
