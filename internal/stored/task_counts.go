package stored

import (
	"encoding/json"
	"hash/fnv"
)

// TaskCounts is the number of running and of completed tasks of a job. Nodes that do not lead show it to users.
type TaskCounts struct{ Running, Done int }

// TaskCountShard is one shard of the task counts, by job.
type TaskCountShard map[string]encodedTaskCounts

// encodedTaskCounts is the stored form of TaskCounts: running, done.
type encodedTaskCounts [2]int

// Counts returns the counts of a job, or false if the shard has none.
func (s TaskCountShard) Counts(job string) (TaskCounts, bool) {
	n, found := s[job]
	return TaskCounts{Running: n[0], Done: n[1]}, found
}

// DecodeTaskCountShard decodes a shard of the task counts.
func DecodeTaskCountShard(value json.RawMessage) (TaskCountShard, error) {
	return decode[TaskCountShard](value)
}

// taskCountBuckets is the number of buckets over which the counts are distributed by a hash of the job ID. Bucket b
// consists of the shards b, b+taskCountBuckets, b+2*taskCountBuckets and so on, as many as its counts need. Some older
// versions only read the first shard of each bucket.
const taskCountBuckets = 8

// taskCountBucket returns the bucket of a job's counts, which is also the index of its first shard.
func taskCountBucket(job string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(job)) // a hash never returns an error
	return int(h.Sum32() % taskCountBuckets)
}

// FindTaskCounts returns the counts of a job. The function shardOf returns the shard with the given key, or false if
// there is none.
func FindTaskCounts(job string, getShard func(key string) (TaskCountShard, bool)) TaskCounts {
	for i := taskCountBucket(job); ; i += taskCountBuckets {
		shard, used := getShard(TaskCountKey(i))
		if !used {
			return TaskCounts{}
		}
		if counts, found := shard.Counts(job); found {
			return counts
		}
	}
}

// maxTaskCountBytes is the maximum encoded size of a job's counts in addition to its ID.
const maxTaskCountBytes = len(`"":[100000,100000],`)

// TaskCountPacker distributes task counts over shards, each of which fits into a value.
type TaskCountPacker struct {
	maxBytes       int
	shards         []TaskCountShard
	openShard      [taskCountBuckets]int // by bucket: index of the shard that is being filled
	openShardBytes [taskCountBuckets]int // by bucket: size of that shard in bytes
}

// NewTaskCountPacker returns a packer of shards of at most maxBytes each.
func NewTaskCountPacker(maxBytes int) *TaskCountPacker {
	p := &TaskCountPacker{maxBytes: maxBytes}
	for i := range p.openShard {
		p.openShard[i] = i
	}
	return p
}

// Add adds the counts of a job. Zero counts are omitted, because they are the default for a job without counts.
func (p *TaskCountPacker) Add(job string, counts TaskCounts) {
	if counts == (TaskCounts{}) {
		return
	}
	bucket, size := taskCountBucket(job), len(job)+maxTaskCountBytes
	if p.openShardBytes[bucket] += size; p.openShardBytes[bucket] >= p.maxBytes {
		p.openShard[bucket] += taskCountBuckets
		p.openShardBytes[bucket] = size
	}
	i := p.openShard[bucket]
	for len(p.shards) <= i {
		p.shards = append(p.shards, TaskCountShard{})
	}
	p.shards[i][job] = encodedTaskCounts{counts.Running, counts.Done}
}

// Encode returns the stored forms of all shards.
func (p *TaskCountPacker) Encode() ([]json.RawMessage, error) { return encodeShards(p.shards) }
