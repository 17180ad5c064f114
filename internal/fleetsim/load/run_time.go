package load

import (
	"hash/fnv"
	"time"

	"bitternwing/internal/config"
	"bitternwing/internal/simworker"
	"bitternwing/internal/wire"
)

// Completions looks up submitted jobs and completed tasks.
type Completions interface {
	Completed(job string, task int) bool
	Job(id string) *wire.Job
}

// Workload provides the submitted jobs and the run times of their tasks to the simulated workers.
type Workload struct{ Completions }

// runTimeSpread is the maximum relative deviation of a task's run time from that of its class, in either direction.
const runTimeSpread = 0.25

// RunTime returns how long a task runs. It depends only on the task's name. A task that has completed before takes no
// time, one of a service runs until it is stopped.
func (w Workload) RunTime(job *wire.Job, task int) time.Duration {
	if job.Kind == wire.KindService {
		return simworker.Never
	}
	if w.Completed(job.ID, task) {
		return 0
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(wire.TaskName(job.ID, task))) // hash.Hash never returns an error
	fraction := float64(hash.Sum32()) / (1 << 32)
	return config.Seconds(job.EstimatedRunS * (1 - runTimeSpread + 2*runTimeSpread*fraction))
}
