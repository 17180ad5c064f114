package core

import (
	"encoding/json"
	"strings"
	"time"

	"bitternwing/internal/call"
	"bitternwing/internal/record"
	"bitternwing/internal/wire"
)

// The keys. Everything below watched is fed to each node by one watch; final
// states and run records are read when they are needed.
const (
	watched    = "w/"
	keyActive  = "w/a/"      // a job that still needs attention
	keyCounts  = "w/n/"      // counts of running and done tasks, in shards
	keyLead    = "w/lead"    // who leads, on a lease
	keyTerm    = "w/term"    // the term, counted up with each win
	keyCatalog = "w/catalog" // the machine types
	keyLayout  = "w/layout"  // the layout of the run records, if it is not the first one
	keyFinal   = "f/"        // a job's final state, kept for good
	keyRuns    = "r/"        // run records
)

// activeValue is a job that is neither done nor wholly gone after a cancel.
type activeValue struct {
	Job         *wire.Job `json:"job"`
	AtMS        int64     `json:"at"`
	CancelledMS int64     `json:"x,omitempty"`
}

// finalValue is a job's final state.
type finalValue struct {
	State wire.JobStatus `json:"s"`
	Done  int            `json:"n"`
	// AtMS is the time of day of the end; 0 in ends that versions before dependencies wrote.
	AtMS int64 `json:"at,omitempty"`
}

type leadValue struct {
	Node        string `json:"node"`
	Incarnation string `json:"inc"`
	Lease       uint64 `json:"lease"`
	Term        uint64 `json:"term"`
}

type termValue struct {
	Term uint64 `json:"term"`
	Node string `json:"node"`
}

// fencedTerm is a term as it is written once the second layout of the run records is in use. Version 1
// can't read it, so that no node of that version, which would take the records for somebody's rubbish,
// ever wins a term again.
type fencedTerm struct {
	Term uint64 `json:"term,string"`
	Node string `json:"node"`
}

// encodeTerm gives a term as it is written under a layout.
func encodeTerm(t termValue, layout record.Layout) (json.RawMessage, error) {
	if layout.ByTask > 0 {
		return json.Marshal(fencedTerm(t))
	}
	return json.Marshal(t)
}

// decodeTerm reads a term in any form, and tells which one it is.
func decodeTerm(value json.RawMessage) (termValue, termForm, bool) {
	if t, ok := decode[termValue](value); ok {
		return t, openTerm, true
	}
	if t, ok := decode[fencedTerm](value); ok {
		return termValue(t), openTerm, true
	}
	return decodeGuardedTerm(value)
}

// counts of a job: running, done.
type counts [2]int

type entry struct {
	activeValue
	version uint64
}

// cancelled tells whether a job that is there is cancelled.
func (e *entry) cancelled() bool { return e != nil && e.CancelledMS != 0 }

// directory is the watched part of the state service as this node last saw it.
// It may lag; what is told to users is confirmed first.
type directory struct {
	ready    bool
	revision uint64

	jobs        map[string]*entry
	lead        leadValue
	leadVersion uint64
	term        termValue
	termVersion uint64
	termForm    termForm // which versions can read it
	catalog     []wire.MachineType
	plans       plansOf
	accounts    accountsOf
	layout      record.Layout // the zero value: the first one
	layoutAt    uint64        // version of its key
	countShards map[string]*storedValue[map[string]counts]
	images      map[string]*storedValue[map[string][]string] // by key, by machine
	unreachable map[string]unreachablePart                   // by key

	// finals are final states seen here; they never change, so they need no
	// confirmation. The oldest makes way.
	finals     map[string]finalValue
	finalOrder []string

	loading  *directory // being read, when set
	busy     bool
	openedAt time.Duration // when the last watch was opened
	watchAt  time.Duration // when the next one is to be
	notNow   time.Duration // not before, after a failure
}

func newDirectory() *directory {
	return &directory{jobs: map[string]*entry{}, countShards: map[string]*storedValue[map[string]counts]{}, images: map[string]*storedValue[map[string][]string]{},
		plans: newPlansOf(), accounts: newAccountsOf(), unreachable: map[string]unreachablePart{}, finals: map[string]finalValue{}}
}

func (d *directory) leadCond() wire.Condition {
	return wire.Condition{Key: keyLead, Version: d.leadVersion}
}

// apply takes a key's value, or its end where value is nil.
func (d *directory) apply(key string, value json.RawMessage, version uint64) {
	switch {
	case below(key, keyActive):
		d.applyJob(key[len(keyActive):], value, version)
	case key == keyLead:
		d.applyLead(value, version)
	case key == keyTerm:
		d.applyTerm(value, version)
	case below(key, keyPlans):
		d.plans.apply(key[len(keyPlans):], value, version)
	case below(key, keyAllowances):
		d.accounts.apply(key, value, version)
	case key == keyCatalog:
		if types, ok := decode[[]wire.MachineType](value); ok {
			d.catalog = types
		}
	case key == keyLayout:
		if layout, ok := decode[record.Layout](value); ok {
			d.layout, d.layoutAt = layout, version
		}
	case isUnreachableKey(key):
		delete(d.unreachable, key)
		if since, ok := decode[map[string]int64](value); ok {
			d.unreachable[key] = unreachablePart{since: since, text: string(value)}
		}
	case strings.HasPrefix(key, keyImages):
		d.images[key] = &storedValue[map[string][]string]{text: value}
	case below(key, keyCounts):
		d.countShards[key] = &storedValue[map[string]counts]{text: value}
	}
}

// below tells whether a key is one of those that begin with a prefix.
func below(key, prefix string) bool { return len(key) > len(prefix) && strings.HasPrefix(key, prefix) }

// decode reads a stored value; false, and nothing, for one that is gone or can't be read.
func decode[T any](value json.RawMessage) (T, bool) {
	var v, none T
	if value == nil || json.Unmarshal(value, &v) != nil {
		return none, false
	}
	return v, true
}

// storedValue is a value that is read when it is needed first: most nodes never need most of them.
type storedValue[T any] struct {
	text  json.RawMessage // nil: it was read, or there is none
	value T
}

// get gives the value; nothing for one that is gone or can't be read.
func (s *storedValue[T]) get() T {
	if s.text != nil {
		s.value, _ = decode[T](s.text)
		s.text = nil
	}
	return s.value
}

func (d *directory) applyJob(id string, value json.RawMessage, version uint64) {
	if old := d.jobs[id]; old != nil && old.version >= version {
		return
	}
	if value == nil {
		delete(d.jobs, id)
		return
	}
	if v, ok := decode[activeValue](value); ok && v.Job != nil {
		d.jobs[id] = &entry{v, version}
	}
}

// versioned is a value of a key as it was read at a version.
type versioned interface {
	comparable
	readAt() uint64
}

func (e *entry) readAt() uint64         { return e.version }
func (p *storedPlan) readAt() uint64    { return p.version }
func (a *storedAccount) readAt() uint64 { return a.version }

// keepHeardSince adds to what was read anew, up to a revision, what was heard of since the reading began. The watch brings
// that, or its end, once more; until then it must not be forgotten.
func keepHeardSince[V versioned](read, before map[string]V, revision uint64) {
	var none V
	for key, old := range before {
		if now := read[key]; old.readAt() > revision && (now == none || now.readAt() < old.readAt()) {
			read[key] = old
		}
	}
}

func (d *directory) applyLead(value json.RawMessage, version uint64) {
	d.leadVersion, d.lead = 0, leadValue{}
	if v, ok := decode[leadValue](value); ok {
		d.lead, d.leadVersion = v, version
	}
}

func (d *directory) applyTerm(value json.RawMessage, version uint64) {
	if v, form, ok := decodeTerm(value); ok && version > d.termVersion {
		d.term, d.termVersion, d.termForm = v, version, max(d.termForm, form)
	}
}

// keepFinal remembers a final state, up to a bound.
func (c *Core) keepFinal(id string, f finalValue) {
	d := c.dir
	c.deps.noticeEnd(id, f)
	if _, ok := d.finals[id]; ok {
		return
	}
	if most := int(100 * c.set.Params.Limits.MemoryMB); len(d.finalOrder) >= most {
		delete(d.finals, d.finalOrder[0])
		d.finalOrder = d.finalOrder[1:]
	}
	d.finals[id] = f
	d.finalOrder = append(d.finalOrder, id)
}

// followerWatchGaps is the least time between two watches of a node that does not lead, in those of a leader.
const followerWatchGaps = 3

// watchDue tells from when on the next watch may be opened, or a reading that takes its place begin.
func (c *Core) watchDue() time.Duration {
	if l := c.lead; l != nil && !l.loaded && c.dir.revision < l.version {
		// It decides nothing until it has read up to its win: the gap that it had as a follower is not for it.
		return c.dir.openedAt + c.t.watchGap
	}
	return c.dir.watchAt
}

// runDirectory reads the watched keys and then follows them.
func (c *Core) runDirectory() {
	d := c.dir
	if d.busy {
		return
	}
	if due := max(d.notNow, c.watchDue()); c.now.Steady < due {
		c.at(due)
		return
	}
	d.busy = true
	if !d.ready || d.loading != nil {
		if d.loading == nil {
			d.loading = newDirectory()
		}
		c.readDirectory("")
		return
	}
	d.openedAt = c.now.Steady
	id := c.call(func(r Result) {
		d.busy = false
		gap := c.t.watchGap
		if c.lead == nil {
			gap = max(followerWatchGaps*gap, c.t.heartbeat/2)
		}
		d.watchAt = c.aligned(d.openedAt + gap)
		switch r.Outcome {
		case call.OK:
			c.sawState(r.Outcome)
			c.applyChanges(r.Changes)
		case call.TooOld, call.TooLarge:
			// Asking again would bring the same and more: the keys are read anew.
			d.loading = newDirectory()
		default:
			if r.Outcome == call.Refused {
				c.sawState(r.Outcome)
			}
			d.notNow = c.now.Steady + c.t.retry
		}
	})
	c.send(StateWatch{ID: id, Prefix: watched, After: d.revision, Wait: c.t.lease / 2})
}

func (c *Core) applyChanges(ch wire.WatchResponse) {
	for _, e := range ch.Events {
		key, value := e.Put, e.Value
		if e.Delete != "" {
			key, value = e.Delete, nil
			c.noticeEnd(key)
		}
		switch {
		case below(key, keyPlans):
			c.applyPlan(key, value, e.Version)
		case below(key, keyActive):
			c.applyJob(key[len(keyActive):], value, e.Version, fromWatch)
		default:
			c.dir.apply(key, value, e.Version)
			c.noticeRelayed(key, value)
		}
	}
	c.dir.revision = max(c.dir.revision, ch.Revision)
}

// knowledgeSource is how a node learned of a change of a job.
type knowledgeSource string

// The sources.
const (
	fromWatch knowledgeSource = "watch"
	fromPeer  knowledgeSource = "peer"
	fromWrite knowledgeSource = "write" // of its own
	fromRead  knowledgeSource = "read"  // of the key
)

// applyJob takes in a job's key, or its end where value is nil, and hands it to those who follow jobs. That a job is cancelled
// is logged when it is known here first: from then on whatever this node answers has to stop it.
func (c *Core) applyJob(id string, value json.RawMessage, version uint64, source knowledgeSource) {
	before := c.dir.jobs[id]
	c.dir.applyJob(id, value, version)
	if !before.cancelled() && c.dir.jobs[id].cancelled() {
		c.log(Debug, "cancellation known", "job", id, "version", version, "from", source)
	}
	c.deps.noticeJob(id)
	if c.lead != nil {
		c.lead.jobChanged(id)
	}
}

// noticeEnd remembers a job's final state from the end of its active key: only the
// write of its final state deletes that key, and the watch lacks no change before
// it, so what the job was last is what it ended as.
func (c *Core) noticeEnd(key string) {
	id, ok := strings.CutPrefix(key, keyActive)
	e := c.dir.jobs[id]
	if !ok || e == nil {
		return
	}
	if e.CancelledMS != 0 {
		c.keepFinal(id, finalValue{State: wire.JobCancelled, Done: c.countsOf(id)[1], AtMS: c.now.WallMS})
		c.cancels.over(id)
	} else {
		c.keepFinal(id, finalValue{State: wire.JobDone, Done: e.Job.Tasks, AtMS: c.now.WallMS})
	}
}

// readDirectory reads all pages of the watched keys. The revision of the first
// page is where the watch begins: what changed while reading comes once more.
func (c *Core) readDirectory(after string) {
	d := c.dir
	id := c.stateCall(func(r Result) {
		if r.Outcome != call.OK {
			d.busy, d.loading = false, newDirectory()
			d.notNow = c.now.Steady + c.t.retry
			return
		}
		l := d.loading
		if l.revision == 0 {
			l.revision = r.Page.Revision
		}
		for _, it := range r.Page.Items {
			l.apply(it.Key, it.Value, it.Version)
		}
		if n := len(r.Page.Items); r.Page.More && n > 0 {
			c.readDirectory(r.Page.Items[n-1].Key)
			return
		}
		old := d.jobs
		keepHeardSince(l.jobs, old, l.revision)
		d.jobs, d.lead, d.leadVersion = l.jobs, l.lead, l.leadVersion
		if l.termVersion > d.termVersion {
			d.term, d.termVersion, d.termForm = l.term, l.termVersion, l.termForm
		}
		d.countShards, d.images, d.revision = l.countShards, l.images, l.revision
		d.unreachable = l.unreachable
		d.plans.reread(l.plans, l.revision)
		d.accounts.reread(l.accounts, l.revision)
		if l.catalog != nil {
			d.catalog = l.catalog
		}
		if l.layoutAt > d.layoutAt {
			d.layout, d.layoutAt = l.layout, l.layoutAt
		}
		d.loading, d.busy, d.ready = nil, false, true
		c.log(Debug, "jobs read", "read_up_to", d.revision, "jobs", len(d.jobs))
		c.deps.reload()
		if c.lead != nil {
			for id := range old {
				if d.jobs[id] == nil {
					c.lead.jobChanged(id)
				}
			}
			for id := range d.jobs {
				c.lead.jobChanged(id)
			}
			c.lead.holdAll()
		}
	})
	c.send(StateList{ID: id, Prefix: watched, After: after})
}
