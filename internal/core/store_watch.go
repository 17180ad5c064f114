package core

import (
	"encoding/json"
	"time"

	"bitternwing/internal/outcome"
	"bitternwing/internal/stored"
	"bitternwing/internal/watchcache"
	"bitternwing/internal/wire"
)

// storeWatch keeps the watch cache up to date: it lists the watched keys, follows them with one watch after the other, and
// lists them anew where a watch can't go on.
type storeWatch struct {
	core     *Core
	listing  *watchcache.Listing // the list that is being read; nil: the watch goes on
	inFlight bool
	openedAt time.Duration // when the last watch was opened
	nextOpen time.Duration // the next one is not opened before
	retryAt  time.Duration // no call before this, after a failure
}

func newStoreWatch(c *Core) *storeWatch {
	return &storeWatch{core: c, listing: watchcache.NewListing()}
}

// run makes the next call when it is due.
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

// nextCallAt returns from when on the next watch may be opened, or a list that takes its place begin.
func (w *storeWatch) nextCallAt() time.Duration {
	c := w.core
	if l := c.leader; l != nil && !l.recovered && c.cache.Revision() < l.termVersion {
		// It decides nothing until it has read up to its election: the longer gap of a follower is not for it.
		return w.openedAt + c.times.minWatchGap
	}
	return w.nextOpen
}

// list reads the watched keys, page by page, after a key.
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
		w.finishList()
	})
	c.emit(StoreList{CallID: id, Prefix: stored.WatchedPrefix, After: after})
}

// finishList has the cache show what was listed, and hands it to those who follow jobs and plans.
func (w *storeWatch) finishList() {
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

// followerWatchGapFactor is the least time between two watches of a node that does not lead, in those of a leader.
const followerWatchGapFactor = 3

// watch waits for the changes after the cache's revision.
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

// applyResult takes the outcome of a watch.
func (w *storeWatch) applyResult(r Result) {
	c := w.core
	if r.Outcome == outcome.OK || r.Outcome == outcome.Unavailable {
		c.storeHealth.observe(r.Outcome)
	}
	switch r.Outcome {
	case outcome.OK:
		c.applyChanges(r.Changes)
	case outcome.TooOld, outcome.TooLarge:
		// The same watch would bring the same and more: the keys are listed anew.
		w.listing = watchcache.NewListing()
	case outcome.Unknown, outcome.Unavailable, outcome.Conflict, outcome.NotFound, outcome.Invalid, outcome.Dropped:
		w.retryAt = c.now.Steady + c.times.retryPause
	}
}

// applyChanges takes what a watch brought.
func (c *Core) applyChanges(changes wire.WatchResponse) {
	for _, event := range changes.Events {
		c.applyEvent(event)
	}
	c.cache.Advance(changes.Revision)
}

// applyEvent takes a change of a key, and hands it to those who follow its kind.
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

// updateSource is how a node learned of a change of a job.
type updateSource string

// The sources.
const (
	fromWatch updateSource = "watch"
	fromPeer  updateSource = "peer"
	fromWrite updateSource = "write" // of its own
	fromRead  updateSource = "read"  // of the key
)

// applyJob takes a job's value, or its deletion where value is nil, and hands it to those who follow jobs. That a job is
// cancelled is logged when it is known here first: from then on whatever this node answers has to stop it.
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

// observeJobEnd remembers a job's final state when its active key is deleted: only the write of the final state does
// that, and the watch has brought every change before it, so the final state follows from the job as it was last.
func (c *Core) observeJobEnd(id string) {
	e := c.cache.Job(id)
	if e == nil {
		return
	}
	if e.Cancelled() {
		c.cacheFinalState(id, stored.FinalState{State: wire.JobCancelled, Done: c.countsOf(id).Done, EndedMS: c.now.WallMS})
		c.cancellations.drop(id)
		return
	}
	c.cacheFinalState(id, stored.FinalState{State: wire.JobDone, Done: e.Spec.Tasks, EndedMS: c.now.WallMS})
}

// finalStatesPerMB is how many final states a node remembers for each MiB of its memory.
const finalStatesPerMB = 100

// cacheFinalState remembers a final state.
func (c *Core) cacheFinalState(id string, final stored.FinalState) {
	c.dependencies.observeFinalState(id, final)
	c.cache.AddFinalState(id, final)
}
