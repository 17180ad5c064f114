// Package emulator has stand-ins of the state service and the cloud, for tests and scale runs. They keep to
// the protocol's page and are no products. The workers are those of package hollow.
package emulator

import (
	"encoding/json"
	"sort"
	"strings"
	"time"

	"github.com/google/btree"

	"bitternwing/internal/outcome"
	"bitternwing/internal/wire"
)

// Store is a state service without a clock or a network: it is told the time.
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

// keptChanges is how many changes a watch can go back.
const keptChanges = 10_000

// itemDegree is the degree of the tree of items.
const itemDegree = 32

// NewStore makes an empty store.
func NewStore() *Store {
	return &Store{items: btree.NewG(itemDegree, func(a, b wire.Item) bool { return a.Key < b.Key }), leases: map[uint64]*lease{}, revision: 1}
}

// AdvanceTo moves the time on and ends leases that are over.
func (s *Store) AdvanceTo(now time.Duration) {
	s.now = now
	var over []uint64
	for id, l := range s.leases {
		if l.expiresAt <= now {
			over = append(over, id)
		}
	}
	sort.Slice(over, func(a, b int) bool { return over[a] < over[b] })
	for _, id := range over {
		s.RevokeLease(id)
	}
}

// SetLimits has the store refuse larger values, and more changes in a transaction, as malformed. What
// is stored stays readable.
func (s *Store) SetLimits(valueBytes, changes int) {
	s.maxValueBytes, s.maxChanges = valueBytes, changes
}

// exceedsLimits tells whether a transaction is refused for its size.
func (s *Store) exceedsLimits(t wire.Txn) bool {
	if s.maxChanges > 0 && (len(t.Then) > s.maxChanges || len(t.If) > 4*s.maxChanges) {
		return true
	}
	for _, op := range t.Then {
		if s.maxValueBytes > 0 && len(op.Value) > s.maxValueBytes {
			return true
		}
	}
	return false
}

// RefreshLeases gives every lease its full time again, as after an outage.
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

// visitPrefix visits the items with a prefix and a key after another one, in order, until it is told to end.
func (s *Store) visitPrefix(prefix, after string, visit func(wire.Item) bool) {
	s.items.AscendGreaterOrEqual(wire.Item{Key: max(prefix, after)}, func(item wire.Item) bool {
		if !strings.HasPrefix(item.Key, prefix) {
			return false
		}
		return item.Key <= after || visit(item)
	})
}

// Keys gives all keys below a prefix, in order.
func (s *Store) Keys(prefix string) []string {
	var keys []string
	s.visitPrefix(prefix, "", func(item wire.Item) bool {
		keys = append(keys, item.Key)
		return true
	})
	return keys
}

// List reads a page.
func (s *Store) List(prefix, after string, limit int) wire.Page {
	p := wire.Page{Items: []wire.Item{}, Revision: s.revision}
	size := 0
	s.visitPrefix(prefix, after, func(item wire.Item) bool {
		size += len(item.Key) + len(item.Value) + itemOverhead
		if len(p.Items) == limit || size > maxPageBytes && len(p.Items) > 0 {
			p.More = true
			return false
		}
		p.Items = append(p.Items, item)
		return true
	})
	return p
}

// pageBytes is the most that a page holds, itemOverhead what the form of an item takes of it.
const (
	maxPageBytes = 512 << 10
	itemOverhead = 64
)

// Txn runs a transaction.
func (s *Store) Txn(t wire.Txn) (wire.TxnResponse, outcome.Outcome) {
	if s.exceedsLimits(t) {
		return wire.TxnResponse{}, outcome.Invalid
	}
	for _, op := range t.Then {
		if op.Lease != 0 && s.leases[op.Lease] == nil {
			return wire.TxnResponse{}, outcome.Invalid
		}
	}
	var failed []string
	for _, c := range t.If {
		if item, _ := s.items.Get(wire.Item{Key: c.Key}); item.Version != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		return wire.TxnResponse{Failed: failed, Revision: s.revision}, outcome.Conflict
	}
	if len(t.Then) > 0 {
		s.revision++
	}
	for _, op := range t.Then {
		if op.Delete != "" {
			s.remove(op.Delete)
			continue
		}
		value := append(json.RawMessage(nil), op.Value...)
		s.items.ReplaceOrInsert(wire.Item{Key: op.Put, Value: value, Version: s.revision, Lease: op.Lease})
		s.appendChange(wire.Event{Put: op.Put, Value: value, Version: s.revision})
	}
	return wire.TxnResponse{Revision: s.revision}, outcome.OK
}

func (s *Store) remove(key string) {
	if _, ok := s.items.Delete(wire.Item{Key: key}); ok {
		s.appendChange(wire.Event{Delete: key, Version: s.revision})
	}
}

func (s *Store) appendChange(e wire.Event) {
	s.log = append(s.log, change{s.revision, e})
	if len(s.log) >= 2*keptChanges {
		s.log = append([]change(nil), s.keptLog()...)
	}
}

// keptLog is what a watch can still be given.
func (s *Store) keptLog() []change { return s.log[max(0, len(s.log)-keptChanges):] }

// GrantLease makes a lease.
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
	var keys []string
	s.items.Ascend(func(item wire.Item) bool {
		if item.Lease == id {
			keys = append(keys, item.Key)
		}
		return true
	})
	if len(keys) > 0 {
		s.revision++
	}
	for _, k := range keys {
		s.remove(k)
	}
	return outcome.OK
}

// Changes gives what changed below a prefix after a revision.
func (s *Store) Changes(prefix string, after uint64) (wire.WatchResponse, outcome.Outcome) {
	kept := s.keptLog()
	if len(kept) == keptChanges && kept[0].revision > after+1 {
		return wire.WatchResponse{}, outcome.TooOld
	}
	c := wire.WatchResponse{Revision: s.revision, Events: []wire.Event{}}
	from := sort.Search(len(kept), func(i int) bool { return kept[i].revision > after })
	for _, ch := range kept[from:] {
		if strings.HasPrefix(ch.event.Put+ch.event.Delete, prefix) {
			c.Events = append(c.Events, ch.event)
		}
	}
	return c, outcome.OK
}
