package stored

import (
	"encoding/json"
	"hash/fnv"
)

// TaskCounts is how many tasks of a job run and are done, for display at nodes that do not lead.
type TaskCounts struct{ Running, Done int }

// TaskCountShard is a shard of the task counts, by job.
type TaskCountShard map[string]encodedTaskCounts

// encodedTaskCounts is the stored form of TaskCounts: running, done.
type encodedTaskCounts [2]int

// Of returns the counts of a job; false if the shard has none.
func (s TaskCountShard) Of(job string) (TaskCounts, bool) {
	n, found := s[job]
	return TaskCounts{Running: n[0], Done: n[1]}, found
}

// DecodeTaskCountShard reads a shard of the task counts.
func DecodeTaskCountShard(value json.RawMessage) (TaskCountShard, error) {
	return decode[TaskCountShard](value)
}

// firstTaskCountShards is over how many shards the counts are spread by a hash of the jobs' ids. A shard that has
// outgrown a value goes on in a further one: shard 3 in shard 3+firstTaskCountShards, and so on. Versions that know
// the first ones only show what is in these.
const firstTaskCountShards = 8

// firstTaskCountShard returns the first shard in which the counts of a job may be.
func firstTaskCountShard(job string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(job)) // a hash takes all
	return int(h.Sum32() % firstTaskCountShards)
}

// FindTaskCounts finds the counts of a job, given a function that gives the shard of a key, and false if there is
// none.
func FindTaskCounts(job string, shardOf func(key string) (TaskCountShard, bool)) TaskCounts {
	for i := firstTaskCountShard(job); ; i += firstTaskCountShards {
		shard, used := shardOf(TaskCountKey(i))
		if !used {
			return TaskCounts{}
		}
		if counts, found := shard.Of(job); found {
			return counts
		}
	}
}

// maxTaskCountBytes is what the counts of a job take at most, beside its id.
const maxTaskCountBytes = len(`"":[100000,100000],`)

// TaskCountPacker puts task counts into shards, each within the limit of a value.
type TaskCountPacker struct {
	maxBytes int
	shards   []TaskCountShard
	last     [firstTaskCountShards]int // by first shard: the one that is being filled
	sizes    [firstTaskCountShards]int // of those
}

// NewTaskCountPacker makes a packer of shards of at most maxBytes each.
func NewTaskCountPacker(maxBytes int) *TaskCountPacker {
	p := &TaskCountPacker{maxBytes: maxBytes}
	for i := range p.last {
		p.last[i] = i
	}
	return p
}

// Add puts in the counts of a job. Counts of zero are what is shown of a job that has none.
func (p *TaskCountPacker) Add(job string, counts TaskCounts) {
	if counts == (TaskCounts{}) {
		return
	}
	first, size := firstTaskCountShard(job), len(job)+maxTaskCountBytes
	if p.sizes[first] += size; p.sizes[first] >= p.maxBytes {
		p.last[first] += firstTaskCountShards
		p.sizes[first] = size
	}
	i := p.last[first]
	for len(p.shards) <= i {
		p.shards = append(p.shards, TaskCountShard{})
	}
	p.shards[i][job] = encodedTaskCounts{counts.Running, counts.Done}
}

// Encode returns the stored forms of all shards.
func (p *TaskCountPacker) Encode() ([]json.RawMessage, error) {
	values := make([]json.RawMessage, len(p.shards))
	for i, shard := range p.shards {
		value, err := json.Marshal(shard)
		if err != nil {
			return nil, err
		}
		values[i] = value
	}
	return values, nil
}
