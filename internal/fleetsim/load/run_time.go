package load

import (
	"hash/fnv"
	"time"

	"bitternwing/internal/config"
	"bitternwing/internal/simworker"
	"bitternwing/internal/wire"
)

// Completions gives the submitted jobs, and tells which tasks have completed.
type Completions interface {
	Completed(job string, task int) bool
	Job(id string) *wire.Job
}

// Uploads are the jobs that users have uploaded, as workers see them.
type Uploads struct{ Completions }

// runTimeSpread is by how much a task's run time differs from its class's, both ways.
const runTimeSpread = 0.25

// RunTime is how long a task of a job runs. A task that has completed before is done at once.
func (u Uploads) RunTime(job *wire.Job, task int) time.Duration {
	if job.Kind == wire.KindService {
		return simworker.Never
	}
	if u.Completed(job.ID, task) {
		return 0
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(wire.TaskName(job.ID, task))) // a hash takes all
	fraction := float64(hash.Sum32()) / (1 << 32)
	return config.Seconds(job.EstimatedRunS * (1 - runTimeSpread + 2*runTimeSpread*fraction))
}
