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

// recorder is told what happens on the workers: it has the rules checked and takes the times.
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
	maxFencingToken uint64 // highest token of a start
	failovers       []Failover
}

// jobTimes is what is measured of a job.
type jobTimes struct {
	class     *load.Class
	submitted time.Duration
	tasks     int
	ran       map[int]bool // tasks that have run at some time
}

// Failover is the end of a leader.
type Failover struct {
	AtS float64 `json:"at_s"`
	// NextStartS is the time to the next start that another leader gave; 0: there was none.
	NextStartS   float64 `json:"next_start_s"`
	Controller   string  `json:"controller"`
	fencingToken uint64
}

func newRecorder(ledger *rules.Ledger, now func() time.Duration, spread *placementTracker) *recorder {
	return &recorder{ledger: ledger, now: now, placements: spread, jobs: map[string]*jobTimes{}, classes: map[string]*measure.Histogram{}, urgent: measure.NewHistogram()}
}

// submit notes a job before it is submitted.
func (r *recorder) submit(a load.Arrival) {
	r.placements.submitted(a.Job)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs[a.Job.ID] = &jobTimes{class: a.Class, submitted: r.now(), tasks: a.Job.Tasks, ran: map[int]bool{}}
	if r.classes[a.Class.Name] == nil {
		r.classes[a.Class.Name] = measure.NewHistogram()
	}
}

// leaderKilled notes that the leader was killed.
func (r *recorder) leaderKilled(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failovers = append(r.failovers, Failover{AtS: r.now().Seconds(), Controller: name, fencingToken: r.maxFencingToken})
}

// StartReceived counts a start.
func (r *recorder) StartReceived(s simworker.Start) {
	r.placements.startReceived(s)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started++
	r.maxFencingToken = max(r.maxFencingToken, s.FencingToken)
	for i := range r.failovers {
		if f := &r.failovers[i]; f.NextStartS == 0 && s.FencingToken > f.fencingToken && r.now().Seconds() > f.AtS {
			f.NextStartS = r.now().Seconds() - f.AtS
		}
	}
}

// TaskRuns takes the time of a task's first start.
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

// totals are counts since the start of a run.
type totals struct{ started, completed, onMachine int64 }

func (r *recorder) totals() totals {
	r.mu.Lock()
	defer r.mu.Unlock()
	return totals{r.started, r.completed, r.onMachine}
}
