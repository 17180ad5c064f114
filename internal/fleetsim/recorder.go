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

// recorder observes the workers. It passes what it sees to the ledger, which checks the rules, and measures times.
type recorder struct {
	ledger     *rules.Ledger
	now        func() time.Duration
	placements *placementTracker

	mu              sync.Mutex
	jobs            map[string]*jobTimes
	startTimes      map[string]*measure.Histogram // times from submission to the first start of a task, by class
	urgentTimes     *measure.Histogram            // times from submission until all tasks of an urgent job have started
	started         int64
	completed       int64
	onMachine       int64
	maxFencingToken uint64 // highest fencing token of any start
	failovers       []Failover
}

// jobTimes is what the recorder keeps of a job to measure its times.
type jobTimes struct {
	class        *load.Class
	submittedAt  time.Duration
	tasks        int
	startedTasks map[int]bool // tasks that have started at least once, by index
}

// Failover describes the failover after a leader was killed.
type Failover struct {
	AtS float64 `json:"at_s"`
	// NextStartS is the time from the kill to the first start command of a later leader; 0 if there was none.
	NextStartS       float64 `json:"next_start_s"`
	Controller       string  `json:"controller"`
	lastFencingToken uint64
}

func newRecorder(ledger *rules.Ledger, now func() time.Duration, placements *placementTracker) *recorder {
	return &recorder{
		ledger:      ledger,
		now:         now,
		placements:  placements,
		jobs:        map[string]*jobTimes{},
		startTimes:  map[string]*measure.Histogram{},
		urgentTimes: measure.NewHistogram(),
	}
}

// recordSubmission records a job just before it is submitted.
func (r *recorder) recordSubmission(arrival load.Arrival) {
	r.placements.addService(arrival.Job)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs[arrival.Job.ID] = &jobTimes{class: arrival.Class, submittedAt: r.now(), tasks: arrival.Job.Tasks, startedTasks: map[int]bool{}}
	if r.startTimes[arrival.Class.Name] == nil {
		r.startTimes[arrival.Class.Name] = measure.NewHistogram()
	}
}

// recordLeaderKill records that the leader is killed now. The failover ends with the first start command whose fencing
// token is higher than all before.
func (r *recorder) recordLeaderKill(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failovers = append(r.failovers, Failover{AtS: r.now().Seconds(), Controller: name, lastFencingToken: r.maxFencingToken})
}

// StartReceived counts a start command, and ends the failovers that wait for one of a new leader.
func (r *recorder) StartReceived(start simworker.Start) {
	r.ledger.RecordStart(start.Machine, start.Task, start.Attempt)
	r.placements.startReceived(start)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started++
	r.maxFencingToken = max(r.maxFencingToken, start.FencingToken)
	for i := range r.failovers {
		if f := &r.failovers[i]; f.NextStartS == 0 && start.FencingToken > f.lastFencingToken && r.now().Seconds() > f.AtS {
			f.NextStartS = r.now().Seconds() - f.AtS
		}
	}
}

// TaskRuns measures the time from a job's submission to the first start of each of its tasks.
func (r *recorder) TaskRuns(machine, task string) {
	r.ledger.TaskRuns(machine, task)
	r.placements.taskRuns(machine, task)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onMachine++
	id, index, _ := wire.ParseTaskName(task)
	j := r.jobs[id]
	if j == nil || j.startedTasks[index] {
		return
	}
	j.startedTasks[index] = true
	waited := r.now() - j.submittedAt
	r.startTimes[j.class.Name].Add(waited)
	if j.class.Urgent() && len(j.startedTasks) == j.tasks {
		r.urgentTimes.Add(waited)
	}
}

// TaskEnds counts a task that left its machine, and whether it completed.
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

// totals holds counts of tasks: started and completed since the start of the simulation, and on a machine now.
type totals struct{ started, completed, onMachine int64 }

func (r *recorder) totals() totals {
	r.mu.Lock()
	defer r.mu.Unlock()
	return totals{r.started, r.completed, r.onMachine}
}
