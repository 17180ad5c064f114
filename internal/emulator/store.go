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

// Store is an in-memory key-value store without a clock or a network. The caller passes the time.
type Store struct {
	now       time.Duration
	revision  uint64
	items     *btree.BTreeG[wire.Item] // by key
	log       []change
	leases    map[uint64]*lease
	lastLease uint64

	maxValueBytes, maxChanges int // transaction limits; 0: none
}

type change struct {
	revision uint64
	event    wire.Event
}

type lease struct {
	ttl, expiresAt time.Duration
}

// maxLoggedChanges is how many of the latest changes a watch can read.
const maxLoggedChanges = 10_000

// btreeDegree is the degree of the B-tree of items.
const btreeDegree = 32

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{items: btree.NewG(btreeDegree, func(a, b wire.Item) bool { return a.Key < b.Key }), leases: map[uint64]*lease{}, revision: 1}
}

// AdvanceTo advances the time and expires leases.
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

// SetLimits has the store refuse transactions with larger values or more changes as invalid. Stored values stay
// readable.
func (s *Store) SetLimits(valueBytes, changes int) {
	s.maxValueBytes, s.maxChanges = valueBytes, changes
}

// conditionsPerChange is the limit on conditions as a multiple of the limit on changes.
const conditionsPerChange = 4

// exceedsLimits reports whether a transaction has too many changes or conditions, or too large a value.
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

// RefreshLeases renews every lease, as the key-value store does after an outage.
func (s *Store) RefreshLeases(now time.Duration) {
	s.now = now
	for _, l := range s.leases {
		l.expiresAt = s.now + l.ttl
	}
}

// Revision returns the revision of the last change.
func (s *Store) Revision() uint64 { return s.revision }

// Get returns the item with a key.
func (s *Store) Get(key string) (wire.Item, outcome.Outcome) {
	item, ok := s.items.Get(wire.Item{Key: key})
	if !ok {
		return wire.Item{}, outcome.NotFound
	}
	return item, outcome.OK
}

// visitPrefix calls visit, in order of key, for the items below a prefix whose keys are greater than after. It stops
// when visit returns false.
func (s *Store) visitPrefix(prefix, after string, visit func(wire.Item) bool) {
	s.items.AscendGreaterOrEqual(wire.Item{Key: max(prefix, after)}, func(item wire.Item) bool {
		if !strings.HasPrefix(item.Key, prefix) {
			return false
		}
		return item.Key <= after || visit(item)
	})
}

// List returns a page of at most limit items below a prefix, from the first key greater than after.
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

// maxPageBytes bounds the size of a page; itemOverhead estimates the encoded size of an item without its key and value.
const (
	maxPageBytes = 512 << 10
	itemOverhead = 64
)

// Txn commits a transaction if all its conditions hold.
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

// referencesUnknownLease reports whether a transaction attaches a key to a lease that does not exist or has expired.
func (s *Store) referencesUnknownLease(txn wire.Txn) bool {
	return slices.ContainsFunc(txn.Then, func(op wire.Op) bool { return op.Lease != 0 && s.leases[op.Lease] == nil })
}

// failedConditions returns the keys whose conditions do not hold; nil: none.
func (s *Store) failedConditions(conditions []wire.Condition) []string {
	var failed []string
	for _, condition := range conditions {
		if item, _ := s.items.Get(wire.Item{Key: condition.Key}); item.Version != condition.Version {
			failed = append(failed, condition.Key)
		}
	}
	return failed
}

// apply applies an operation of a transaction at the current revision.
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

// retainedLog returns the part of the change log that a watch can still read.
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

// RevokeLease removes a lease and deletes the keys attached to it.
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

// Changes returns the changes below a prefix after a revision. The outcome is TooOld if the log no longer has them all.
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
