package fleetsim

import (
	"sync"
	"time"

	"bitternwing/internal/fleetsim/load"
	"bitternwing/internal/fleetsim/measure"
	"bitternwing/internal/fleetsim/rules"
	"bitternwing/internal/simworker"
	"bitternwing/internal/wire"
)

// recorder observes the workers: it has the rules checked, and measures times.
type recorder struct {
	ledger     *rules.Ledger
	now        func() time.Duration
	placements *placementTracker

	mu              sync.Mutex
	jobs            map[string]*jobTimes
	classes         map[string]*measure.Histogram // start times by class
	urgent          *measure.Histogram            // from submission until all of an urgent job runs
	started         int64
	completed       int64
	onMachine       int64
	maxFencingToken uint64 // highest fencing token of a start
	failovers       []Failover
}

// jobTimes are the measured times of a job.
type jobTimes struct {
	class     *load.Class
	submitted time.Duration
	tasks     int
	ran       map[int]bool // by index, those that have run
}

// Failover is a failover after a leader was killed.
type Failover struct {
	AtS float64 `json:"at_s"`
	// NextStartS is the time to the next start command of another leader; 0: there was none.
	NextStartS   float64 `json:"next_start_s"`
	Controller   string  `json:"controller"`
	fencingToken uint64
}

func newRecorder(ledger *rules.Ledger, now func() time.Duration, placements *placementTracker) *recorder {
	return &recorder{
		ledger:     ledger,
		now:        now,
		placements: placements,
		jobs:       map[string]*jobTimes{},
		classes:    map[string]*measure.Histogram{},
		urgent:     measure.NewHistogram(),
	}
}

// submit records a job before it is submitted.
func (r *recorder) submit(arrival load.Arrival) {
	r.placements.submitted(arrival.Job)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs[arrival.Job.ID] = &jobTimes{class: arrival.Class, submitted: r.now(), tasks: arrival.Job.Tasks, ran: map[int]bool{}}
	if r.classes[arrival.Class.Name] == nil {
		r.classes[arrival.Class.Name] = measure.NewHistogram()
	}
}

// leaderKilled records that the leader was killed.
func (r *recorder) leaderKilled(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failovers = append(r.failovers, Failover{AtS: r.now().Seconds(), Controller: name, fencingToken: r.maxFencingToken})
}

// StartReceived counts a start.
func (r *recorder) StartReceived(start simworker.Start) {
	r.placements.startReceived(start)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started++
	r.maxFencingToken = max(r.maxFencingToken, start.FencingToken)
	for i := range r.failovers {
		if f := &r.failovers[i]; f.NextStartS == 0 && start.FencingToken > f.fencingToken && r.now().Seconds() > f.AtS {
			f.NextStartS = r.now().Seconds() - f.AtS
		}
	}
}

// TaskRuns measures the time to a task's first start.
func (r *recorder) TaskRuns(machine, task string) {
	r.ledger.TaskRuns(machine, task)
	r.placements.taskRuns(machine, task)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onMachine++
	id, index, _ := wire.ParseTaskName(task)
	j := r.jobs[id]
	if j == nil || j.ran[index] {
		return
	}
	j.ran[index] = true
	waited := r.now() - j.submitted
	r.classes[j.class.Name].Add(waited)
	if j.class.Urgent() && len(j.ran) == j.tasks {
		r.urgent.Add(waited)
	}
}

// TaskEnds counts a task's end.
func (r *recorder) TaskEnds(machine, task string, done bool) {
	r.ledger.TaskEnds(machine, task, done)
	r.placements.taskEnds(task)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onMachine--
	if done {
		r.completed++
	}
}

// totals are counts since the start of the simulation.
type totals struct{ started, completed, onMachine int64 }

func (r *recorder) totals() totals {
	r.mu.Lock()
	defer r.mu.Unlock()
	return totals{r.started, r.completed, r.onMachine}
}
