package core

import (
	"encoding/json"
	"time"

	"bitternwing/internal/outcome"
	"bitternwing/internal/stored"
	"bitternwing/internal/watchcache"
	"bitternwing/internal/wire"
)

// storeWatch keeps the watch cache up to date. It lists the watched keys, follows their changes by successive watch
// requests, and lists them again if a watch can't continue.
type storeWatch struct {
	core     *Core
	listing  *watchcache.Listing // the list being read; nil while watching
	inFlight bool
	openedAt time.Duration // when the last watch was opened
	nextOpen time.Duration // earliest time of the next watch
	retryAt  time.Duration // earliest time of the next call, after a failure
}

func newStoreWatch(c *Core) *storeWatch {
	return &storeWatch{core: c, listing: watchcache.NewListing()}
}

// run starts the next list or watch if it is due.
func (w *storeWatch) run() {
	c := w.core
	if w.inFlight {
		return
	}
	if due := max(w.retryAt, w.nextCallAt()); c.now.Steady < due {
		c.wakeBy(due)
		return
	}
	w.inFlight = true
	if w.listing != nil {
		w.list("")
		return
	}
	w.watch()
}

// nextCallAt returns when the next watch, or a list that replaces it, may start.
func (w *storeWatch) nextCallAt() time.Duration {
	c := w.core
	if l := c.leader; l != nil && !l.recovered && c.cache.Revision() < l.termVersion {
		// A new leader makes no decisions until the cache has reached the revision of its election, so the longer gap
		// between a follower's watches, which may still be set, does not apply.
		return w.openedAt + c.times.minWatchGap
	}
	return w.nextOpen
}

// list reads the watched keys that follow a key, page by page.
func (w *storeWatch) list(after string) {
	c := w.core
	id := c.registerStoreCall(func(r Result) {
		if r.Outcome != outcome.OK {
			w.inFlight, w.listing = false, watchcache.NewListing()
			w.retryAt = c.now.Steady + c.times.retryPause
			return
		}
		w.listing.AddPage(r.Page)
		if n := len(r.Page.Items); r.Page.More && n > 0 {
			w.list(r.Page.Items[n-1].Key)
			return
		}
		w.applyList()
	})
	c.emit(StoreList{CallID: id, Prefix: stored.WatchedPrefix, After: after})
}

// applyList replaces the cache's contents by the listed keys and updates the components that depend on jobs and plans.
func (w *storeWatch) applyList() {
	c := w.core
	c.cache.Replace(w.listing)
	w.inFlight, w.listing = false, nil
	c.log(Debug, "watched keys listed", "revision", c.cache.Revision(), "jobs", c.cache.JobCount())
	c.dependencies.reload()
	if c.leader == nil {
		return
	}
	for _, id := range c.cache.JobIDs() {
		c.leader.applyJobChange(id)
	}
	c.leader.refreshHolds()
}

// followerWatchGapFactor is the minimum time between two watches of a follower, in multiples of a leader's.
const followerWatchGapFactor = 3

// watch requests the changes after the cache's revision.
func (w *storeWatch) watch() {
	c := w.core
	w.openedAt = c.now.Steady
	id := c.registerCall(func(r Result) {
		w.inFlight = false
		gap := c.times.minWatchGap
		if c.leader == nil {
			gap = max(followerWatchGapFactor*gap, c.times.checkInterval/2)
		}
		w.nextOpen = c.coalesce(w.openedAt + gap)
		w.applyResult(r)
	})
	c.emit(StoreWatch{CallID: id, Prefix: stored.WatchedPrefix, After: c.cache.Revision(), Wait: c.times.lease / 2})
}

// applyResult handles the result of a watch.
func (w *storeWatch) applyResult(r Result) {
	c := w.core
	if r.Outcome == outcome.OK || r.Outcome == outcome.Unavailable {
		c.storeHealth.observe(r.Outcome)
	}
	switch r.Outcome {
	case outcome.OK:
		c.applyChanges(r.Changes)
	case outcome.TooOld, outcome.TooLarge:
		// Repeating the watch would fail again, since its revision stays compacted or its response only grows. The keys
		// are listed instead.
		w.listing = watchcache.NewListing()
	case outcome.Unknown, outcome.Unavailable, outcome.Conflict, outcome.NotFound, outcome.Invalid, outcome.Dropped:
		w.retryAt = c.now.Steady + c.times.retryPause
	}
}

// applyChanges applies the changes that a watch returned.
func (c *Core) applyChanges(changes wire.WatchResponse) {
	for _, event := range changes.Events {
		c.applyEvent(event)
	}
	c.cache.Advance(changes.Revision)
}

// applyEvent applies a change of a key to the cache and to the components that depend on keys of its kind.
func (c *Core) applyEvent(event wire.Event) {
	key, value := event.Put, event.Value
	if event.Delete != "" {
		key, value = event.Delete, nil
	}
	kind, name := stored.ParseWatchedKey(key)
	if kind == stored.KindJob && event.Delete != "" {
		c.observeJobEnd(name)
	}
	switch kind {
	case stored.KindJob:
		c.applyJob(name, value, event.Version, fromWatch)
	case stored.KindPlan:
		c.applyPlan(name, value, event.Version)
	case stored.KindRelayedHeartbeats:
		c.applyRelayedHeartbeats(name, value)
	case stored.KindLeader, stored.KindTerm, stored.KindCatalog, stored.KindRecordLayout, stored.KindQuotaAccount,
		stored.KindTaskCounts, stored.KindImageHints, stored.KindUnreachableHints, stored.KindUnknown:
		c.cache.Apply(key, value, event.Version)
	}
}

// updateSource is how a node learned of a change to a job.
type updateSource string

// The sources of an update.
const (
	fromWatch updateSource = "watch"
	fromPeer  updateSource = "peer"
	fromWrite updateSource = "write" // the result of this node's own write
	fromRead  updateSource = "read"  // a read of the job's key
)

// applyJob applies a job's value, or its deletion if value is nil, to the cache and to the components that depend on
// jobs. It logs when this node first learns of a cancellation, since every response of the node has to respect it from
// then on.
func (c *Core) applyJob(id string, value json.RawMessage, version uint64, source updateSource) {
	before := c.cache.Job(id)
	c.cache.ApplyJob(id, value, version)
	if !before.Cancelled() && c.cache.Job(id).Cancelled() {
		c.log(Debug, "cancellation observed", "job", id, "version", version, "from", source)
	}
	c.dependencies.observeJob(id)
	if c.leader != nil {
		c.leader.applyJobChange(id)
	}
}

// observeJobEnd caches a job's final state when its active key is deleted. Only the transaction that writes the final
// state deletes that key, and the watch has delivered all earlier changes, so the final state follows from the cached
// job.
func (c *Core) observeJobEnd(id string) {
	cached := c.cache.Job(id)
	if cached == nil {
		return
	}
	if cached.Cancelled() {
		c.cacheFinalState(id, stored.FinalState{State: wire.JobCancelled, Done: c.taskCountsOf(id).Done, EndedMS: c.now.WallMS})
		c.cancellations.drop(id)
		return
	}
	c.cacheFinalState(id, stored.FinalState{State: wire.JobDone, Done: cached.Spec.Tasks, EndedMS: c.now.WallMS})
}

// finalStatesPerMB is how many final states a node caches per MiB of its memory limit.
const finalStatesPerMB = 100

// cacheFinalState records a job's final state in the cache and the dependency graph.
func (c *Core) cacheFinalState(id string, final stored.FinalState) {
	c.dependencies.observeFinalState(id, final)
	c.cache.AddFinalState(id, final)
}
