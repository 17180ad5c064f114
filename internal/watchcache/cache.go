// Package watchcache is a node's view of the watched keys of the key-value store, as the list and the watch have brought
// them so far.
//
// The view may lag behind the store: what is told to users is confirmed first, and what is written is conditional on the
// versions that were seen. The package is pure: it does not call the store, and does not know who follows its changes.
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

// Cache is the watched part of the key-value store as this node last saw it.
type Cache struct {
	ready    bool
	revision uint64

	jobs          map[string]*Job
	leader        stored.Leader
	leaderVersion uint64
	term          versionedTerm
	catalog       []wire.MachineType
	layout        record.Layout
	layoutVersion uint64
	plans         plans
	quotaAccounts quotaAccounts
	taskCounts    map[string]*lazyValue[stored.TaskCountShard] // by key
	images        map[string]*lazyValue[stored.ImageHints]     // by key
	unreachable   map[string]unreachableShard                  // by key
	finalStates   finalStates
}

// versionedTerm is the term with the version of its key.
type versionedTerm struct {
	term    stored.Term
	format  stored.TermFormat
	version uint64
}

// New makes an empty cache that remembers so many final states.
func New(maxFinalStates int) *Cache {
	return &Cache{jobs: map[string]*Job{}, plans: newPlans(), quotaAccounts: newQuotaAccounts(),
		taskCounts:  map[string]*lazyValue[stored.TaskCountShard]{},
		images:      map[string]*lazyValue[stored.ImageHints]{},
		unreachable: map[string]unreachableShard{}, finalStates: newFinalStates(maxFinalStates)}
}

// Ready reports whether the watched keys were listed once.
func (c *Cache) Ready() bool { return c.ready }

// Revision returns the store's revision up to which the cache has all changes.
func (c *Cache) Revision() uint64 { return c.revision }

// Advance notes that all changes up to a revision were applied.
func (c *Cache) Advance(revision uint64) { c.revision = max(c.revision, revision) }

// Apply takes the value of a watched key, or its deletion where value is nil.
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
		c.images[key] = newLazyValue(value, stored.DecodeImageHints)
	case stored.KindTaskCounts:
		c.taskCounts[key] = newLazyValue(value, stored.DecodeTaskCountShard)
	case stored.KindRelayedHeartbeats, stored.KindUnknown:
		// Relayed heartbeats are evidence for the leader, and state of nobody.
	}
}

// ApplyJob takes a job's value, or its deletion where value is nil. A value that is no newer than the known one, or
// that can't be decoded, changes nothing.
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

// Job returns an active job; nil for one that is not known.
func (c *Cache) Job(id string) *Job { return c.jobs[id] }

// JobCount returns how many jobs are active.
func (c *Cache) JobCount() int { return len(c.jobs) }

// JobIDs returns the ids of the active jobs in their order.
func (c *Cache) JobIDs() []string { return slices.Sorted(maps.Keys(c.jobs)) }

func (c *Cache) applyLeader(value json.RawMessage, version uint64) {
	c.leader, c.leaderVersion = stored.Leader{}, 0
	if leader, err := stored.DecodeLeader(value); err == nil {
		c.leader, c.leaderVersion = leader, version
	}
}

// HasLeader reports whether some node leads.
func (c *Cache) HasLeader() bool { return c.leaderVersion != 0 }

// Leader returns the node that leads; the zero value if none does.
func (c *Cache) Leader() stored.Leader { return c.leader }

// LeaderCondition is the condition that the same node leads in the same term.
func (c *Cache) LeaderCondition() wire.Condition {
	return wire.Condition{Key: stored.LeaderKey, Version: c.leaderVersion}
}

// ObserveTerm takes a term that was read or written at a version. Its format never goes back to one that older versions
// can read.
func (c *Cache) ObserveTerm(term stored.Term, format stored.TermFormat, version uint64) {
	if version > c.term.version {
		c.term = versionedTerm{term: term, format: max(c.term.format, format), version: version}
	}
}

// Term returns the newest term.
func (c *Cache) Term() stored.Term { return c.term.term }

// TermVersion returns the version of the term's key.
func (c *Cache) TermVersion() uint64 { return c.term.version }

// TermFormat returns the format in which the term is stored.
func (c *Cache) TermFormat() stored.TermFormat { return c.term.format }

// Catalog returns the machine types that the cloud offers; nil if none are stored.
func (c *Cache) Catalog() []wire.MachineType { return c.catalog }

// ObserveRecordLayout takes the layout of the run records that was read or written at a version.
func (c *Cache) ObserveRecordLayout(layout record.Layout, version uint64) {
	if version > c.layoutVersion {
		c.layout, c.layoutVersion = layout, version
	}
}

// RecordLayout returns the layout of the run records; false if it is still the first one, which is not stored.
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

// Images returns the images that an earlier leader believed to be on a machine.
func (c *Cache) Images(machine string) []string {
	var images []string
	for _, shard := range c.images {
		images = append(images, shard.get()[machine]...)
	}
	return images
}
