package core

import (
	"encoding/json"
	"strings"
	"time"

	"bitternwing/internal/outcome"
	"bitternwing/internal/record"
	"bitternwing/internal/wire"
)

// The keys. Everything below watched is fed to each node by one watch; final
// states and run records are read when they are needed.
const (
	watchedPrefix    = "w/"
	activeJobPrefix  = "w/a/"      // a job that still needs attention
	taskCountPrefix  = "w/n/"      // counts of running and done tasks, in shards
	leaderKey        = "w/lead"    // who leads, on a lease
	termKey          = "w/term"    // the term, counted up with each win
	catalogKey       = "w/catalog" // the machine types
	recordLayoutKey  = "w/layout"  // the layout of the run records, if it is not the first one
	finalStatePrefix = "f/"        // a job's final state, kept for good
	runRecordPrefix  = "r/"        // run records
)

// activeJob is a job that is neither done nor wholly gone after a cancel.
type activeJob struct {
	Spec        *wire.Job `json:"job"`
	AcceptedMS  int64     `json:"at"`
	CancelledMS int64     `json:"x,omitempty"`
}

// finalState is a job's final state.
type finalState struct {
	State wire.JobStatus `json:"s"`
	Done  int            `json:"n"`
	// EndedMS is the time of day of the end; 0 in ends that versions before dependencies wrote.
	EndedMS int64 `json:"at,omitempty"`
}

type leaderRecord struct {
	Node        string `json:"node"`
	Incarnation string `json:"inc"`
	Lease       uint64 `json:"lease"`
	Term        uint64 `json:"term"`
}

type termRecord struct {
	Term uint64 `json:"term"`
	Node string `json:"node"`
}

// layoutFencedTerm is a term as it is written once the second layout of the run records is in use. Version 1
// can't read it, so that no node of that version, which would take the records for somebody's rubbish,
// ever wins a term again.
type layoutFencedTerm struct {
	Term uint64 `json:"term,string"`
	Node string `json:"node"`
}

// encodeTerm gives a term as it is written under a layout.
func encodeTerm(t termRecord, layout record.Layout) (json.RawMessage, error) {
	if layout.ByTask > 0 {
		return json.Marshal(layoutFencedTerm(t))
	}
	return json.Marshal(t)
}

// decodeTerm reads a term in any form, and tells which one it is.
func decodeTerm(value json.RawMessage) (termRecord, termFormat, bool) {
	if t, ok := decode[termRecord](value); ok {
		return t, baseTermFormat, true
	}
	if t, ok := decode[layoutFencedTerm](value); ok {
		return termRecord(t), baseTermFormat, true
	}
	return decodeVersionedTerm(value)
}

// taskCounts of a job: running, done.
type taskCounts [2]int

type cachedJob struct {
	activeJob
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
	leader        leaderRecord
	leaderVersion uint64
	term          termRecord
	termVersion   uint64
	termForm      termFormat // which versions can read it
	catalog       []wire.MachineType
	plans         cachedPlans
	quotaAccounts cachedQuotaAccounts
	layout        record.Layout // the zero value: the first one
	layoutVersion uint64        // version of its key
	countShards   map[string]*lazyValue[map[string]taskCounts]
	images        map[string]*lazyValue[map[string][]string] // by key, by machine
	unreachable   map[string]unreachableHintShard            // by key

	// finals are final states seen here; they never change, so they need no
	// confirmation. The oldest makes way.
	finals     map[string]finalState
	finalOrder []string

	reloading     *watchCache // being read, when set
	inFlight      bool
	watchOpenedAt time.Duration // when the last watch was opened
	nextWatch     time.Duration // when the next one is to be
	retryAt       time.Duration // not before, after a failure
}

func newWatchCache() *watchCache {
	return &watchCache{jobs: map[string]*cachedJob{}, countShards: map[string]*lazyValue[map[string]taskCounts]{}, images: map[string]*lazyValue[map[string][]string]{},
		plans: newCachedPlans(), quotaAccounts: newCachedQuotaAccounts(), unreachable: map[string]unreachableHintShard{}, finals: map[string]finalState{}}
}

func (d *watchCache) leaderCondition() wire.Condition {
	return wire.Condition{Key: leaderKey, Version: d.leaderVersion}
}

// apply takes a key's value, or its end where value is nil.
func (d *watchCache) apply(key string, value json.RawMessage, version uint64) {
	switch {
	case hasKeyPrefix(key, activeJobPrefix):
		d.applyJob(key[len(activeJobPrefix):], value, version)
	case key == leaderKey:
		d.applyLeader(value, version)
	case key == termKey:
		d.applyTerm(value, version)
	case hasKeyPrefix(key, planPrefix):
		d.plans.apply(key[len(planPrefix):], value, version)
	case hasKeyPrefix(key, quotaPrefix):
		d.quotaAccounts.apply(key, value, version)
	case key == catalogKey:
		if types, ok := decode[[]wire.MachineType](value); ok {
			d.catalog = types
		}
	case key == recordLayoutKey:
		if layout, ok := decode[record.Layout](value); ok {
			d.layout, d.layoutVersion = layout, version
		}
	case isUnreachableHintKey(key):
		delete(d.unreachable, key)
		if since, ok := decode[map[string]int64](value); ok {
			d.unreachable[key] = unreachableHintShard{since: since, encoded: string(value)}
		}
	case strings.HasPrefix(key, imageHintPrefix):
		d.images[key] = &lazyValue[map[string][]string]{encoded: value}
	case hasKeyPrefix(key, taskCountPrefix):
		d.countShards[key] = &lazyValue[map[string]taskCounts]{encoded: value}
	}
}

// hasKeyPrefix tells whether a key is one of those that begin with a prefix.
func hasKeyPrefix(key, prefix string) bool {
	return len(key) > len(prefix) && strings.HasPrefix(key, prefix)
}

// decode reads a stored value; false, and nothing, for one that is gone or can't be read.
func decode[T any](value json.RawMessage) (T, bool) {
	var v, none T
	if value == nil || json.Unmarshal(value, &v) != nil {
		return none, false
	}
	return v, true
}

// lazyValue is a value that is read when it is needed first: most nodes never need most of them.
type lazyValue[T any] struct {
	encoded json.RawMessage // nil: it was read, or there is none
	value   T
}

// get gives the value; nothing for one that is gone or can't be read.
func (s *lazyValue[T]) get() T {
	if s.encoded != nil {
		s.value, _ = decode[T](s.encoded)
		s.encoded = nil
	}
	return s.value
}

func (d *watchCache) applyJob(id string, value json.RawMessage, version uint64) {
	if old := d.jobs[id]; old != nil && old.version >= version {
		return
	}
	if value == nil {
		delete(d.jobs, id)
		return
	}
	if v, ok := decode[activeJob](value); ok && v.Spec != nil {
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
	d.leaderVersion, d.leader = 0, leaderRecord{}
	if v, ok := decode[leaderRecord](value); ok {
		d.leader, d.leaderVersion = v, version
	}
}

func (d *watchCache) applyTerm(value json.RawMessage, version uint64) {
	if v, form, ok := decodeTerm(value); ok && version > d.termVersion {
		d.term, d.termVersion, d.termForm = v, version, max(d.termForm, form)
	}
}

// cacheFinalState remembers a final state, up to a bound.
func (c *Core) cacheFinalState(id string, f finalState) {
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
	c.emit(StoreWatch{CallID: id, Prefix: watchedPrefix, After: d.revision, Wait: c.times.lease / 2})
}

func (c *Core) applyChanges(ch wire.WatchResponse) {
	for _, e := range ch.Events {
		key, value := e.Put, e.Value
		if e.Delete != "" {
			key, value = e.Delete, nil
			c.observeJobEnd(key)
		}
		switch {
		case hasKeyPrefix(key, planPrefix):
			c.applyPlanKey(key, value, e.Version)
		case hasKeyPrefix(key, activeJobPrefix):
			c.applyJob(key[len(activeJobPrefix):], value, e.Version, fromWatch)
		default:
			c.cache.apply(key, value, e.Version)
			c.applyRelayedHeartbeats(key, value)
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
func (c *Core) observeJobEnd(key string) {
	id, ok := strings.CutPrefix(key, activeJobPrefix)
	e := c.cache.jobs[id]
	if !ok || e == nil {
		return
	}
	if e.CancelledMS != 0 {
		c.cacheFinalState(id, finalState{State: wire.JobCancelled, Done: c.countsOf(id)[1], EndedMS: c.now.WallMS})
		c.cancellations.drop(id)
	} else {
		c.cacheFinalState(id, finalState{State: wire.JobDone, Done: e.Spec.Tasks, EndedMS: c.now.WallMS})
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
			d.term, d.termVersion, d.termForm = l.term, l.termVersion, l.termForm
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
	c.emit(StoreList{CallID: id, Prefix: watchedPrefix, After: after})
}
