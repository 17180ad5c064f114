package load

import (
	"hash/fnv"
	"time"

	"bitternwing/internal/config"
	"bitternwing/internal/simworker"
	"bitternwing/internal/wire"
)

// Completions tells which tasks have completed on some machine.
type Completions interface {
	Completed(job string, task int) bool
	Job(id string) *wire.Job
}

// Uploads is what workers fetch of the jobs that users have uploaded.
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
	h := fnv.New32a()
	_, _ = h.Write([]byte(wire.TaskName(job.ID, task))) // a hash takes all
	part := float64(h.Sum32()) / (1 << 32)
	return config.Seconds(job.EstimatedRunS * (1 - runTimeSpread + 2*runTimeSpread*part))
}
