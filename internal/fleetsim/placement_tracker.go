package fleetsim

import (
	"slices"
	"sync"
	"time"

	"bitternwing/internal/simworker"
	"bitternwing/internal/wire"
)

// SpreadResult is what became of the weights and the zones of a run's services.
type SpreadResult struct {
	ColdStarts  int     `json:"cold_starts"`  // replicas that waited for their weights
	ColdSeconds float64 `json:"cold_seconds"` // how long, all together
	// Fetches are those that the workers counted themselves, of services and arrays.
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

// coldStartThreshold is from when on a replica's start counts as cold: a warm one runs with the next look at the clock.
const coldStartThreshold = 100 * time.Millisecond

// placementTracker follows the services' replicas.
type placementTracker struct {
	now    func() time.Duration
	zoneOf func(machine string) string

	mu       sync.Mutex
	jobs     map[string]*wire.Job
	wanted   int
	started  map[string]time.Duration
	running  map[string]string // zones, by task
	result   SpreadResult
	samples  int
	lostAt   time.Duration
	sampleAt time.Duration
	// missingBefore are the replicas that were missing in the last seconds before the loss: jobs come all the time, and each
	// waits a while.
	missingBefore []int
}

// missingWindow is over how many seconds what was missing before the loss is looked at.
const missingWindow = 10

func newPlacementTracker(now func() time.Duration, zone func(string) string) *placementTracker {
	return &placementTracker{now: now, zoneOf: zone, jobs: map[string]*wire.Job{}, started: map[string]time.Duration{}, running: map[string]string{}}
}

// submitted takes a service up. It is wanted from then on.
func (x *placementTracker) submitted(job *wire.Job) {
	if job.Kind != wire.KindService {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.jobs[job.ID] = job
	x.wanted += job.Tasks
}

// startReceived notes when a replica's start came in.
func (x *placementTracker) startReceived(s simworker.Start) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.started[s.Task] = x.now()
}

// taskRuns notes that a replica runs, and what its weights took.
func (x *placementTracker) taskRuns(machine, task string) {
	zone := x.zoneOf(machine)
	x.mu.Lock()
	defer x.mu.Unlock()
	id, _, _ := wire.ParseTaskName(task)
	if x.jobs[id] == nil {
		return
	}
	x.running[task] = zone
	if waited := x.now() - x.started[task]; waited > coldStartThreshold {
		x.result.ColdStarts++
		x.result.ColdSeconds += waited.Seconds()
	}
}

// taskEnds notes that a replica does not run any more.
func (x *placementTracker) taskEnds(task string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.running, task)
}

// byModel counts the replicas of each model by zone.
func (x *placementTracker) byModel() map[string]map[string]int {
	models := map[string]map[string]int{}
	for task, zone := range x.running {
		id, _, _ := wire.ParseTaskName(task)
		job := x.jobs[id]
		model := job.Team + " " + job.Image
		if models[model] == nil {
			models[model] = map[string]int{}
		}
		models[model][zone]++
	}
	return models
}

// largestZone gives a model's zone with the most replicas, how many these are, and how many it has in all.
func largestZone(zones map[string]int) (zone string, most, total int) {
	for z, n := range zones {
		total += n
		if n > most || n == most && z < zone {
			zone, most = z, n
		}
	}
	return zone, most, total
}

// sample takes the present state in, each second.
func (x *placementTracker) sample() {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.now()
	passed := (now - x.sampleAt).Seconds()
	x.sampleAt = now
	if x.lostAt > 0 {
		x.afterLoss(now, passed)
		return
	}
	x.missingBefore = append(x.missingBefore, x.missing())
	x.missingBefore = x.missingBefore[max(0, len(x.missingBefore)-missingWindow):]
	sum, models := 0.0, 0
	for _, zones := range x.byModel() {
		if _, most, total := largestZone(zones); total > 1 {
			sum += float64(most) / float64(total)
			models++
		}
	}
	if models > 0 {
		x.result.WorstZone += sum / float64(models)
		x.samples++
	}
}

// missing is how many replicas are wanted and do not run.
func (x *placementTracker) missing() int { return max(0, x.wanted-len(x.running)) }

// afterLoss counts what is missing until no more is than before the loss.
func (x *placementTracker) afterLoss(now time.Duration, passed float64) {
	if x.result.FullServiceS > 0 || x.wanted == 0 {
		return
	}
	missing := x.missing()
	x.result.LostReplicaS += float64(missing) * passed
	x.result.MinServingShare = min(x.result.MinServingShare, float64(len(x.running))/float64(x.wanted))
	if missing <= slices.Max(append(x.missingBefore, 0)) {
		x.result.FullServiceS = (now - x.lostAt).Seconds()
	}
}

// worstZone gives the zone that takes the most replicas of a model, and notes that it is lost now.
func (x *placementTracker) worstZone() string {
	x.mu.Lock()
	defer x.mu.Unlock()
	hit := 0
	for _, zones := range x.byModel() {
		if zone, most, total := largestZone(zones); most > hit || most == hit && zone < x.result.LostZone {
			hit = most
			x.result.LostZone, x.result.LostShare = zone, float64(most)/float64(total)
		}
	}
	x.lostAt, x.result.MinServingShare = x.now(), 1
	return x.result.LostZone
}

// summary gives the result, with what the workers counted.
func (x *placementTracker) summary(fleet *simworker.Fleet) SpreadResult {
	x.mu.Lock()
	defer x.mu.Unlock()
	result := x.result
	if x.samples > 0 {
		result.WorstZone /= float64(x.samples)
	}
	fetches, took := fleet.Fetches()
	result.Fetches, result.FetchSeconds = fetches, took.Seconds()
	result.ReplicasAtEnd = len(x.running)
	return result
}
