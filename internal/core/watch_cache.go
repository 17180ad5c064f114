package core

import (
	"encoding/json"
	"time"

	"bitternwing/internal/outcome"
	"bitternwing/internal/record"
	"bitternwing/internal/stored"
	"bitternwing/internal/wire"
)

type cachedJob struct {
	stored.Job
	version uint64
}

// cancelled tells whether a job that is there is cancelled.
func (e *cachedJob) cancelled() bool { return e != nil && e.CancelledMS != 0 }

// watchCache is the watched part of the state service as this node last saw it.
// It may lag; what is told to users is confirmed first.
type watchCache struct {
	ready    bool
	revision uint64

	jobs          map[string]*cachedJob
	leader        stored.Leader
	leaderVersion uint64
	term          stored.Term
	termVersion   uint64
	termFormat    stored.TermFormat // which versions can read it
	catalog       []wire.MachineType
	plans         cachedPlans
	quotaAccounts cachedQuotaAccounts
	layout        record.Layout // the zero value: the first one
	layoutVersion uint64        // version of its key
	countShards   map[string]*lazyValue[stored.TaskCountShard]
	images        map[string]*lazyValue[stored.ImageHints] // by key, by machine
	unreachable   map[string]unreachableHintShard          // by key

	// finals are final states seen here; they never change, so they need no
	// confirmation. The oldest makes way.
	finals     map[string]stored.FinalState
	finalOrder []string

	reloading     *watchCache // being read, when set
	inFlight      bool
	watchOpenedAt time.Duration // when the last watch was opened
	nextWatch     time.Duration // when the next one is to be
	retryAt       time.Duration // not before, after a failure
}

func newWatchCache() *watchCache {
	return &watchCache{jobs: map[string]*cachedJob{}, countShards: map[string]*lazyValue[stored.TaskCountShard]{}, images: map[string]*lazyValue[stored.ImageHints]{},
		plans: newCachedPlans(), quotaAccounts: newCachedQuotaAccounts(), unreachable: map[string]unreachableHintShard{}, finals: map[string]stored.FinalState{}}
}

func (d *watchCache) leaderCondition() wire.Condition {
	return wire.Condition{Key: stored.LeaderKey, Version: d.leaderVersion}
}

// apply takes a key's value, or its end where value is nil.
func (d *watchCache) apply(key string, value json.RawMessage, version uint64) {
	switch kind, name := stored.ParseWatchedKey(key); kind {
	case stored.KindJob:
		d.applyJob(name, value, version)
	case stored.KindLeader:
		d.applyLeader(value, version)
	case stored.KindTerm:
		d.applyTerm(value, version)
	case stored.KindPlan:
		d.plans.apply(name, value, version)
	case stored.KindQuotaAccount:
		d.quotaAccounts.apply(key, value, version)
	case stored.KindCatalog:
		if types, err := stored.DecodeCatalog(value); err == nil {
			d.catalog = types
		}
	case stored.KindRecordLayout:
		if layout, err := record.DecodeLayout(value); err == nil {
			d.layout, d.layoutVersion = layout, version
		}
	case stored.KindUnreachableHints:
		delete(d.unreachable, key)
		if lastHeard, err := stored.DecodeUnreachableHints(value); err == nil {
			d.unreachable[key] = unreachableHintShard{lastHeardMS: lastHeard, encoded: string(value)}
		}
	case stored.KindImageHints:
		d.images[key] = &lazyValue[stored.ImageHints]{encoded: value, decode: stored.DecodeImageHints}
	case stored.KindTaskCounts:
		d.countShards[key] = &lazyValue[stored.TaskCountShard]{encoded: value, decode: stored.DecodeTaskCountShard}
	case stored.KindRelayedHeartbeats, stored.KindUnknown:
	}
}

// lazyValue is a stored value that is decoded when it is needed first: most nodes never need most of them.
type lazyValue[T any] struct {
	encoded json.RawMessage // nil: it was decoded
	decode  func(json.RawMessage) (T, error)
	value   T
}

// get gives the value; the zero value for one that can't be decoded.
func (v *lazyValue[T]) get() T {
	if v.encoded != nil {
		v.value, _ = v.decode(v.encoded)
		v.encoded = nil
	}
	return v.value
}

func (d *watchCache) applyJob(id string, value json.RawMessage, version uint64) {
	if old := d.jobs[id]; old != nil && old.version >= version {
		return
	}
	if value == nil {
		delete(d.jobs, id)
		return
	}
	if v, err := stored.DecodeJob(value); err == nil {
		d.jobs[id] = &cachedJob{v, version}
	}
}

// versionedValue is a value of a key as it was read at a version.
type versionedValue interface {
	comparable
	readVersion() uint64
}

func (e *cachedJob) readVersion() uint64          { return e.version }
func (p *cachedPlan) readVersion() uint64         { return p.version }
func (a *cachedQuotaAccount) readVersion() uint64 { return a.version }

// retainNewer adds to what was read anew, up to a revision, what was heard of since the reading began. The watch brings
// that, or its end, once more; until then it must not be forgotten.
func retainNewer[V versionedValue](read, before map[string]V, revision uint64) {
	var none V
	for key, old := range before {
		if now := read[key]; old.readVersion() > revision && (now == none || now.readVersion() < old.readVersion()) {
			read[key] = old
		}
	}
}

func (d *watchCache) applyLeader(value json.RawMessage, version uint64) {
	d.leaderVersion, d.leader = 0, stored.Leader{}
	if v, err := stored.DecodeLeader(value); err == nil {
		d.leader, d.leaderVersion = v, version
	}
}

func (d *watchCache) applyTerm(value json.RawMessage, version uint64) {
	if v, format, err := stored.DecodeTerm(value); err == nil && version > d.termVersion {
		d.term, d.termVersion, d.termFormat = v, version, max(d.termFormat, format)
	}
}

// cacheFinalState remembers a final state, up to a bound.
func (c *Core) cacheFinalState(id string, f stored.FinalState) {
	d := c.cache
	c.dependencies.observeEnd(id, f)
	if _, ok := d.finals[id]; ok {
		return
	}
	if most := int(100 * c.settings.Params.Limits.MemoryMB); len(d.finalOrder) >= most {
		delete(d.finals, d.finalOrder[0])
		d.finalOrder = d.finalOrder[1:]
	}
	d.finals[id] = f
	d.finalOrder = append(d.finalOrder, id)
}

// followerWatchGapFactor is the least time between two watches of a node that does not lead, in those of a leader.
const followerWatchGapFactor = 3

// nextWatchAt tells from when on the next watch may be opened, or a reading that takes its place begin.
func (c *Core) nextWatchAt() time.Duration {
	if l := c.leader; l != nil && !l.recovered && c.cache.revision < l.termVersion {
		// It decides nothing until it has read up to its win: the gap that it had as a follower is not for it.
		return c.cache.watchOpenedAt + c.times.minWatchGap
	}
	return c.cache.nextWatch
}

// followStore reads the watched keys and then follows them.
func (c *Core) followStore() {
	d := c.cache
	if d.inFlight {
		return
	}
	if due := max(d.retryAt, c.nextWatchAt()); c.now.Steady < due {
		c.wakeBy(due)
		return
	}
	d.inFlight = true
	if !d.ready || d.reloading != nil {
		if d.reloading == nil {
			d.reloading = newWatchCache()
		}
		c.listWatchedKeys("")
		return
	}
	d.watchOpenedAt = c.now.Steady
	id := c.registerCall(func(r Result) {
		d.inFlight = false
		gap := c.times.minWatchGap
		if c.leader == nil {
			gap = max(followerWatchGapFactor*gap, c.times.checkInterval/2)
		}
		d.nextWatch = c.coalesce(d.watchOpenedAt + gap)
		switch r.Outcome {
		case outcome.OK:
			c.observeStoreOutcome(r.Outcome)
			c.applyChanges(r.Changes)
		case outcome.TooOld, outcome.TooLarge:
			// Asking again would bring the same and more: the keys are read anew.
			d.reloading = newWatchCache()
		default:
			if r.Outcome == outcome.Unavailable {
				c.observeStoreOutcome(r.Outcome)
			}
			d.retryAt = c.now.Steady + c.times.retryPause
		}
	})
	c.emit(StoreWatch{CallID: id, Prefix: stored.WatchedPrefix, After: d.revision, Wait: c.times.lease / 2})
}

func (c *Core) applyChanges(ch wire.WatchResponse) {
	for _, e := range ch.Events {
		key, value := e.Put, e.Value
		if e.Delete != "" {
			key, value = e.Delete, nil
		}
		//exhaustive:ignore // the others concern the cache alone
		switch kind, name := stored.ParseWatchedKey(key); kind {
		case stored.KindPlan:
			c.applyPlan(name, value, e.Version)
		case stored.KindJob:
			if e.Delete != "" {
				c.observeJobEnd(name)
			}
			c.applyJob(name, value, e.Version, fromWatch)
		case stored.KindRelayedHeartbeats:
			c.applyRelayedHeartbeats(name, value)
		default:
			c.cache.apply(key, value, e.Version)
		}
	}
	c.cache.revision = max(c.cache.revision, ch.Revision)
}

// updateSource is how a node learned of a change of a job.
type updateSource string

// The sources.
const (
	fromWatch updateSource = "watch"
	fromPeer  updateSource = "peer"
	fromWrite updateSource = "write" // of its own
	fromRead  updateSource = "read"  // of the key
)

// applyJob takes in a job's key, or its end where value is nil, and hands it to those who follow jobs. That a job is cancelled
// is logged when it is known here first: from then on whatever this node answers has to stop it.
func (c *Core) applyJob(id string, value json.RawMessage, version uint64, source updateSource) {
	before := c.cache.jobs[id]
	c.cache.applyJob(id, value, version)
	if !before.cancelled() && c.cache.jobs[id].cancelled() {
		c.log(Debug, "cancellation observed", "job", id, "version", version, "from", source)
	}
	c.dependencies.observeJob(id)
	if c.leader != nil {
		c.leader.applyJobChange(id)
	}
}

// observeJobEnd remembers a job's final state from the end of its active key: only the
// write of its final state deletes that key, and the watch lacks no change before
// it, so what the job was last is what it ended as.
func (c *Core) observeJobEnd(id string) {
	e := c.cache.jobs[id]
	if e == nil {
		return
	}
	if e.CancelledMS != 0 {
		c.cacheFinalState(id, stored.FinalState{State: wire.JobCancelled, Done: c.countsOf(id).Done, EndedMS: c.now.WallMS})
		c.cancellations.drop(id)
	} else {
		c.cacheFinalState(id, stored.FinalState{State: wire.JobDone, Done: e.Spec.Tasks, EndedMS: c.now.WallMS})
	}
}

// listWatchedKeys reads all pages of the watched keys. The revision of the first
// page is where the watch begins: what changed while reading comes once more.
func (c *Core) listWatchedKeys(after string) {
	d := c.cache
	id := c.registerStoreCall(func(r Result) {
		if r.Outcome != outcome.OK {
			d.inFlight, d.reloading = false, newWatchCache()
			d.retryAt = c.now.Steady + c.times.retryPause
			return
		}
		l := d.reloading
		if l.revision == 0 {
			l.revision = r.Page.Revision
		}
		for _, it := range r.Page.Items {
			l.apply(it.Key, it.Value, it.Version)
		}
		if n := len(r.Page.Items); r.Page.More && n > 0 {
			c.listWatchedKeys(r.Page.Items[n-1].Key)
			return
		}
		old := d.jobs
		retainNewer(l.jobs, old, l.revision)
		d.jobs, d.leader, d.leaderVersion = l.jobs, l.leader, l.leaderVersion
		if l.termVersion > d.termVersion {
			d.term, d.termVersion, d.termFormat = l.term, l.termVersion, l.termFormat
		}
		d.countShards, d.images, d.revision = l.countShards, l.images, l.revision
		d.unreachable = l.unreachable
		d.plans.replace(l.plans, l.revision)
		d.quotaAccounts.replace(l.quotaAccounts, l.revision)
		if l.catalog != nil {
			d.catalog = l.catalog
		}
		if l.layoutVersion > d.layoutVersion {
			d.layout, d.layoutVersion = l.layout, l.layoutVersion
		}
		d.reloading, d.inFlight, d.ready = nil, false, true
		c.log(Debug, "watched keys listed", "revision", d.revision, "jobs", len(d.jobs))
		c.dependencies.reload()
		if c.leader != nil {
			for id := range old {
				if d.jobs[id] == nil {
					c.leader.applyJobChange(id)
				}
			}
			for id := range d.jobs {
				c.leader.applyJobChange(id)
			}
			c.leader.refreshHolds()
		}
	})
	c.emit(StoreList{CallID: id, Prefix: stored.WatchedPrefix, After: after})
}
