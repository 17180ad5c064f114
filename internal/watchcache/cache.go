// Package watchcache holds a copy of the watched keys of the key-value store, which a list fills and a watch keeps up
// to date.
//
// The cache may lag behind the store. State is therefore confirmed before it is reported to users, and writes are
// conditional on the versions in the cache. The package is pure: it does not call the store, and it does not notify
// anyone of changes.
package watchcache

import (
	"encoding/json"
	"maps"
	"slices"

	"bitternwing/internal/record"
	"bitternwing/internal/stored"
	"bitternwing/internal/wire"
)

// Job is an active job with the version of its key.
type Job struct {
	stored.Job
	Version uint64
}

// Cancelled reports whether there is a job and it is cancelled.
func (j *Job) Cancelled() bool { return j != nil && j.CancelledMS != 0 }

// Cache is the watched part of the key-value store as this node last read it.
type Cache struct {
	ready    bool
	revision uint64

	jobs             map[string]*Job
	leader           stored.Leader
	leaderVersion    uint64
	term             versionedTerm
	catalog          []wire.MachineType
	layout           record.Layout
	layoutVersion    uint64
	plans            plans
	quotaAccounts    quotaAccounts
	taskCounts       map[string]*lazyValue[stored.TaskCountShard] // by key
	imageHints       map[string]*lazyValue[stored.ImageHints]     // by key
	unreachableHints map[string]unreachableShard                  // by key
	finalStates      finalStates
}

// versionedTerm is the term with the version of its key.
type versionedTerm struct {
	term    stored.Term
	format  stored.TermFormat
	version uint64
}

// New returns an empty cache that stores up to maxFinalStates final states.
func New(maxFinalStates int) *Cache {
	return &Cache{jobs: map[string]*Job{}, plans: newPlans(), quotaAccounts: newQuotaAccounts(),
		taskCounts:       map[string]*lazyValue[stored.TaskCountShard]{},
		imageHints:       map[string]*lazyValue[stored.ImageHints]{},
		unreachableHints: map[string]unreachableShard{}, finalStates: newFinalStates(maxFinalStates)}
}

// Ready reports whether a complete list of the watched keys has been loaded.
func (c *Cache) Ready() bool { return c.ready }

// Revision returns the store revision up to which the cache includes all changes.
func (c *Cache) Revision() uint64 { return c.revision }

// Advance records that all changes up to a revision have been applied.
func (c *Cache) Advance(revision uint64) { c.revision = max(c.revision, revision) }

// Apply applies a change of a watched key. A nil value is a deletion.
func (c *Cache) Apply(key string, value json.RawMessage, version uint64) {
	switch kind, name := stored.ParseWatchedKey(key); kind {
	case stored.KindJob:
		c.ApplyJob(name, value, version)
	case stored.KindPlan:
		c.ApplyPlan(name, value, version)
	case stored.KindQuotaAccount:
		c.ApplyQuotaAccount(key, value, version)
	case stored.KindLeader:
		c.applyLeader(value, version)
	case stored.KindTerm:
		if term, format, err := stored.DecodeTerm(value); err == nil {
			c.ObserveTerm(term, format, version)
		}
	case stored.KindCatalog:
		if types, err := stored.DecodeCatalog(value); err == nil {
			c.catalog = types
		}
	case stored.KindRecordLayout:
		if layout, err := record.DecodeLayout(value); err == nil {
			c.layout, c.layoutVersion = layout, version
		}
	case stored.KindUnreachableHints:
		c.applyUnreachableHints(key, value)
	case stored.KindImageHints:
		c.imageHints[key] = newLazyValue(value, stored.DecodeImageHints)
	case stored.KindTaskCounts:
		c.taskCounts[key] = newLazyValue(value, stored.DecodeTaskCountShard)
	case stored.KindRelayedHeartbeats, stored.KindUnknown:
		// The leader processes relayed heartbeats as they arrive; the cache does not store them.
	}
}

// ApplyJob applies a change of a job. A nil value is a deletion. A value that is not newer than the cached one, or that
// can't be decoded, is ignored.
func (c *Cache) ApplyJob(id string, value json.RawMessage, version uint64) {
	if known := c.jobs[id]; known != nil && known.Version >= version {
		return
	}
	if value == nil {
		delete(c.jobs, id)
		return
	}
	if job, err := stored.DecodeJob(value); err == nil {
		c.jobs[id] = &Job{Job: job, Version: version}
	}
}

// Job returns an active job, or nil if it is not in the cache.
func (c *Cache) Job(id string) *Job { return c.jobs[id] }

// JobCount returns the number of active jobs.
func (c *Cache) JobCount() int { return len(c.jobs) }

// JobIDs returns the sorted IDs of the active jobs.
func (c *Cache) JobIDs() []string { return slices.Sorted(maps.Keys(c.jobs)) }

func (c *Cache) applyLeader(value json.RawMessage, version uint64) {
	c.leader, c.leaderVersion = stored.Leader{}, 0
	if leader, err := stored.DecodeLeader(value); err == nil {
		c.leader, c.leaderVersion = leader, version
	}
}

// HasLeader reports whether there is a leader.
func (c *Cache) HasLeader() bool { return c.leaderVersion != 0 }

// Leader returns the leader, or the zero value if there is none.
func (c *Cache) Leader() stored.Leader { return c.leader }

// LeaderCondition returns the condition that the same node still leads in the same term.
func (c *Cache) LeaderCondition() wire.Condition {
	return wire.Condition{Key: stored.LeaderKey, Version: c.leaderVersion}
}

// ObserveTerm records a term that was read or written at a version. The format never reverts to one that older versions
// of the program can read.
func (c *Cache) ObserveTerm(term stored.Term, format stored.TermFormat, version uint64) {
	if version > c.term.version {
		c.term = versionedTerm{term: term, format: max(c.term.format, format), version: version}
	}
}

// Term returns the newest term.
func (c *Cache) Term() stored.Term { return c.term.term }

// TermVersion returns the version of the term key.
func (c *Cache) TermVersion() uint64 { return c.term.version }

// TermFormat returns the format in which the term is stored.
func (c *Cache) TermFormat() stored.TermFormat { return c.term.format }

// Catalog returns the machine types that the cloud offers, or nil if none are stored.
func (c *Cache) Catalog() []wire.MachineType { return c.catalog }

// ObserveRecordLayout records the layout of the run records that was read or written at a version.
func (c *Cache) ObserveRecordLayout(layout record.Layout, version uint64) {
	if version > c.layoutVersion {
		c.layout, c.layoutVersion = layout, version
	}
}

// RecordLayout returns the layout of the run records. The result is false while the index layout is in use, which is
// not stored.
func (c *Cache) RecordLayout() (record.Layout, bool) { return c.layout, c.layoutVersion != 0 }

// TaskCounts returns the stored task counts of a job.
func (c *Cache) TaskCounts(job string) stored.TaskCounts {
	return stored.FindTaskCounts(job, func(key string) (stored.TaskCountShard, bool) {
		shard, used := c.taskCounts[key]
		if !used {
			return nil, false
		}
		return shard.get(), true
	})
}

// Images returns the images that the image hints of an earlier leader list for a machine.
func (c *Cache) Images(machine string) []string {
	var images []string
	for _, shard := range c.imageHints {
		images = append(images, shard.get()[machine]...)
	}
	return images
}
