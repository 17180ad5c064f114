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
	Fetches       int64   `json:"fetches"`
	FetchSeconds  float64 `json:"fetch_seconds"`
	WorstZone     float64 `json:"worst_zone"`     // share of a model's replicas that the loss of its worst zone takes: mean over models and seconds
	LostZone      string  `json:"lost_zone"`      // the one that was lost; "": none
	Taken         float64 `json:"taken"`          // share of the replicas of the model that was hit worst
	LostReplicaS  float64 `json:"lost_replica_s"` // after the loss, until full service
	FullServiceS  float64 `json:"full_service_s"` // from the loss; 0: not reached, or nothing was lost
	LeastServing  float64 `json:"least_serving"`  // share of the replicas, after the loss
	ReplicasAtEnd int     `json:"replicas_at_the_end"`
}

// waitedForWeights is from when on a replica's start counts as cold: a warm one runs with the next look at the clock.
const waitedForWeights = 100 * time.Millisecond

// spreading follows the services' replicas.
type spreading struct {
	now  func() time.Duration
	zone func(machine string) string

	mu       sync.Mutex
	jobs     map[string]*wire.Job
	wanted   int
	started  map[string]time.Duration
	running  map[string]string // zones, by task
	result   SpreadResult
	samples  int
	lostAt   time.Duration
	sampleAt time.Duration
	// before are the replicas that were missing in the last seconds before the loss: jobs come all the time, and each
	// waits a while.
	before []int
}

// secondsBefore is over how many seconds what was missing before the loss is looked at.
const secondsBefore = 10

func newSpreading(now func() time.Duration, zone func(string) string) *spreading {
	return &spreading{now: now, zone: zone, jobs: map[string]*wire.Job{}, started: map[string]time.Duration{}, running: map[string]string{}}
}

// submitted takes a service up. It is wanted from then on.
func (x *spreading) submitted(job *wire.Job) {
	if job.Kind != wire.KindService {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.jobs[job.ID] = job
	x.wanted += job.Tasks
}

// startReceived notes when a replica's start came in.
func (x *spreading) startReceived(s simworker.Start) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.started[s.Task] = x.now()
}

// runs notes that a replica runs, and what its weights took.
func (x *spreading) runs(machine, task string) {
	zone := x.zone(machine)
	x.mu.Lock()
	defer x.mu.Unlock()
	id, _, _ := wire.ParseTaskName(task)
	if x.jobs[id] == nil {
		return
	}
	x.running[task] = zone
	if waited := x.now() - x.started[task]; waited > waitedForWeights {
		x.result.ColdStarts++
		x.result.ColdSeconds += waited.Seconds()
	}
}

// ends notes that a replica does not run any more.
func (x *spreading) ends(task string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.running, task)
}

// byModel counts the replicas of each model by zone.
func (x *spreading) byModel() map[string]map[string]int {
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

// worst gives a model's zone with the most replicas, how many these are, and how many it has in all.
func worst(zones map[string]int) (zone string, most, total int) {
	for z, n := range zones {
		total += n
		if n > most || n == most && z < zone {
			zone, most = z, n
		}
	}
	return zone, most, total
}

// sample takes the present state in, each second.
func (x *spreading) sample() {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.now()
	passed := (now - x.sampleAt).Seconds()
	x.sampleAt = now
	if x.lostAt > 0 {
		x.afterLoss(now, passed)
		return
	}
	x.before = append(x.before, x.missing())
	x.before = x.before[max(0, len(x.before)-secondsBefore):]
	sum, models := 0.0, 0
	for _, zones := range x.byModel() {
		if _, most, total := worst(zones); total > 1 {
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
func (x *spreading) missing() int { return max(0, x.wanted-len(x.running)) }

// afterLoss counts what is missing until no more is than before the loss.
func (x *spreading) afterLoss(now time.Duration, passed float64) {
	if x.result.FullServiceS > 0 || x.wanted == 0 {
		return
	}
	missing := x.missing()
	x.result.LostReplicaS += float64(missing) * passed
	x.result.LeastServing = min(x.result.LeastServing, float64(len(x.running))/float64(x.wanted))
	if missing <= slices.Max(append(x.before, 0)) {
		x.result.FullServiceS = (now - x.lostAt).Seconds()
	}
}

// worstZone gives the zone that takes the most replicas of a model, and notes that it is lost now.
func (x *spreading) worstZone() string {
	x.mu.Lock()
	defer x.mu.Unlock()
	hit := 0
	for _, zones := range x.byModel() {
		if zone, most, total := worst(zones); most > hit || most == hit && zone < x.result.LostZone {
			hit = most
			x.result.LostZone, x.result.Taken = zone, float64(most)/float64(total)
		}
	}
	x.lostAt, x.result.LeastServing = x.now(), 1
	return x.result.LostZone
}

// sum gives the result, with what the workers counted.
func (x *spreading) sum(fleet *simworker.Fleet) SpreadResult {
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
