package emulator

import (
	"encoding/json"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/google/btree"

	"bitternwing/internal/outcome"
	"bitternwing/internal/wire"
)

// Store is a key-value store without a clock or a network: the caller gives the time.
type Store struct {
	now       time.Duration
	revision  uint64
	items     *btree.BTreeG[wire.Item] // by key
	log       []change
	leases    map[uint64]*lease
	lastLease uint64

	maxValueBytes, maxChanges int // limits of a transaction; 0: none
}

type change struct {
	revision uint64
	event    wire.Event
}

type lease struct {
	ttl, expiresAt time.Duration
}

// maxLoggedChanges is how many changes a watch can go back.
const maxLoggedChanges = 10_000

// btreeDegree is the degree of the tree of items.
const btreeDegree = 32

// NewStore makes an empty store.
func NewStore() *Store {
	return &Store{items: btree.NewG(btreeDegree, func(a, b wire.Item) bool { return a.Key < b.Key }), leases: map[uint64]*lease{}, revision: 1}
}

// AdvanceTo advances the time, and expires leases.
func (s *Store) AdvanceTo(now time.Duration) {
	s.now = now
	var expired []uint64
	for id, l := range s.leases {
		if l.expiresAt <= now {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	for _, id := range expired {
		s.RevokeLease(id)
	}
}

// SetLimits has the store refuse larger values, and more changes in a transaction, as malformed. What
// is stored stays readable.
func (s *Store) SetLimits(valueBytes, changes int) {
	s.maxValueBytes, s.maxChanges = valueBytes, changes
}

// conditionsPerChange is how many conditions a transaction may have for each change that it may have.
const conditionsPerChange = 4

// exceedsLimits tells whether a transaction is refused for its size.
func (s *Store) exceedsLimits(txn wire.Txn) bool {
	if s.maxChanges > 0 && (len(txn.Then) > s.maxChanges || len(txn.If) > conditionsPerChange*s.maxChanges) {
		return true
	}
	for _, op := range txn.Then {
		if s.maxValueBytes > 0 && len(op.Value) > s.maxValueBytes {
			return true
		}
	}
	return false
}

// RefreshLeases renews every lease, as after an outage.
func (s *Store) RefreshLeases(now time.Duration) {
	s.now = now
	for _, l := range s.leases {
		l.expiresAt = s.now + l.ttl
	}
}

// Revision is the number of the last change.
func (s *Store) Revision() uint64 { return s.revision }

// Get reads a key.
func (s *Store) Get(key string) (wire.Item, outcome.Outcome) {
	item, ok := s.items.Get(wire.Item{Key: key})
	if !ok {
		return wire.Item{}, outcome.NotFound
	}
	return item, outcome.OK
}

// visitPrefix visits the items with a prefix and a key after another one, in order, until visit returns false.
func (s *Store) visitPrefix(prefix, after string, visit func(wire.Item) bool) {
	s.items.AscendGreaterOrEqual(wire.Item{Key: max(prefix, after)}, func(item wire.Item) bool {
		if !strings.HasPrefix(item.Key, prefix) {
			return false
		}
		return item.Key <= after || visit(item)
	})
}

// List reads a page.
func (s *Store) List(prefix, after string, limit int) wire.Page {
	page := wire.Page{Items: []wire.Item{}, Revision: s.revision}
	size := 0
	s.visitPrefix(prefix, after, func(item wire.Item) bool {
		size += len(item.Key) + len(item.Value) + itemOverhead
		if len(page.Items) == limit || size > maxPageBytes && len(page.Items) > 0 {
			page.More = true
			return false
		}
		page.Items = append(page.Items, item)
		return true
	})
	return page
}

// maxPageBytes is the most that a page holds, itemOverhead what the form of an item takes of it.
const (
	maxPageBytes = 512 << 10
	itemOverhead = 64
)

// Txn applies a transaction if all its conditions hold.
func (s *Store) Txn(txn wire.Txn) (wire.TxnResponse, outcome.Outcome) {
	if s.exceedsLimits(txn) || s.referencesUnknownLease(txn) {
		return wire.TxnResponse{}, outcome.Invalid
	}
	if failed := s.failedConditions(txn.If); failed != nil {
		return wire.TxnResponse{Failed: failed, Revision: s.revision}, outcome.Conflict
	}
	if len(txn.Then) > 0 {
		s.revision++
	}
	for _, op := range txn.Then {
		s.apply(op)
	}
	return wire.TxnResponse{Revision: s.revision}, outcome.OK
}

func (s *Store) referencesUnknownLease(txn wire.Txn) bool {
	return slices.ContainsFunc(txn.Then, func(op wire.Op) bool { return op.Lease != 0 && s.leases[op.Lease] == nil })
}

// failedConditions gives the keys whose conditions do not hold; nil: none.
func (s *Store) failedConditions(conditions []wire.Condition) []string {
	var failed []string
	for _, condition := range conditions {
		if item, _ := s.items.Get(wire.Item{Key: condition.Key}); item.Version != condition.Version {
			failed = append(failed, condition.Key)
		}
	}
	return failed
}

// apply applies an operation of a transaction at the present revision.
func (s *Store) apply(op wire.Op) {
	if op.Delete != "" {
		s.remove(op.Delete)
		return
	}
	value := append(json.RawMessage(nil), op.Value...)
	s.items.ReplaceOrInsert(wire.Item{Key: op.Put, Value: value, Version: s.revision, Lease: op.Lease})
	s.appendChange(wire.Event{Put: op.Put, Value: value, Version: s.revision})
}

func (s *Store) remove(key string) {
	if _, ok := s.items.Delete(wire.Item{Key: key}); ok {
		s.appendChange(wire.Event{Delete: key, Version: s.revision})
	}
}

func (s *Store) appendChange(event wire.Event) {
	s.log = append(s.log, change{s.revision, event})
	if len(s.log) >= 2*maxLoggedChanges {
		s.log = append([]change(nil), s.retainedLog()...)
	}
}

// retainedLog is the part of the log that a watch can still read.
func (s *Store) retainedLog() []change { return s.log[max(0, len(s.log)-maxLoggedChanges):] }

// GrantLease creates a lease.
func (s *Store) GrantLease(ttl time.Duration) uint64 {
	s.lastLease++
	s.leases[s.lastLease] = &lease{ttl, s.now + ttl}
	return s.lastLease
}

// RenewLease renews a lease.
func (s *Store) RenewLease(id uint64) outcome.Outcome {
	l := s.leases[id]
	if l == nil {
		return outcome.NotFound
	}
	l.expiresAt = s.now + l.ttl
	return outcome.OK
}

// RevokeLease ends a lease and its keys.
func (s *Store) RevokeLease(id uint64) outcome.Outcome {
	if s.leases[id] == nil {
		return outcome.NotFound
	}
	delete(s.leases, id)
	var attached []string
	s.items.Ascend(func(item wire.Item) bool {
		if item.Lease == id {
			attached = append(attached, item.Key)
		}
		return true
	})
	if len(attached) > 0 {
		s.revision++
	}
	for _, key := range attached {
		s.remove(key)
	}
	return outcome.OK
}

// Changes gives what changed below a prefix after a revision.
func (s *Store) Changes(prefix string, after uint64) (wire.WatchResponse, outcome.Outcome) {
	retained := s.retainedLog()
	if len(retained) == maxLoggedChanges && retained[0].revision > after+1 {
		return wire.WatchResponse{}, outcome.TooOld
	}
	response := wire.WatchResponse{Revision: s.revision, Events: []wire.Event{}}
	first := sort.Search(len(retained), func(index int) bool { return retained[index].revision > after })
	for _, c := range retained[first:] {
		if strings.HasPrefix(c.event.Put+c.event.Delete, prefix) {
			response.Events = append(response.Events, c.event)
		}
	}
	return response, outcome.OK
}
