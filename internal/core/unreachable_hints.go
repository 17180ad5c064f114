package core

import (
	"encoding/json"
	"slices"
	"time"

	"bitternwing/internal/outcome"
	"bitternwing/internal/stored"
	"bitternwing/internal/wire"
)

// unreachableHints writes, while much of a zone is silent, when its machines were last heard: see
// stored.UnreachableHints.
type unreachableHints struct {
	leader    *leader
	nextWrite time.Duration
	inFlight  bool
	written   []string // as written, a value for each key
}

func (s *unreachableHints) run() {
	l, c := s.leader, s.leader.core
	if s.inFlight || c.storeHealth.down || !l.hasAuthority() || len(l.silentZones) == 0 && len(s.written) == 0 {
		return
	}
	if c.now.Steady < s.nextWrite {
		c.wakeBy(s.nextWrite)
		return
	}
	s.nextWrite = c.now.Steady + c.times.checkInterval
	next, err := s.encode()
	if err != nil {
		return
	}
	ops, after := s.changes(next)
	if len(ops) == 0 {
		return
	}
	l.writer.rateTokens -= float64(len(ops))
	s.inFlight = true
	id := l.registerStoreCall(func(r Result) {
		s.inFlight = false
		if r.Outcome == outcome.OK {
			s.written = after
		}
	})
	c.emit(StoreTxn{CallID: id, Txn: wire.Txn{If: []wire.Condition{{Key: stored.TermKey, Version: l.termVersion}}, Then: ops}})
}

// encode gives the hints as they are to be written, a value for each key.
func (s *unreachableHints) encode() ([]string, error) {
	l, c := s.leader, s.leader.core
	packer := stored.NewUnreachableHintPacker(c.maxValueBytes())
	for _, m := range l.machinesByName {
		quiet := c.now.Steady - m.lastHeardDirectlyOrRelayed()
		if _, many := l.silentZones[m.zone]; !many || m.releasing || quiet < c.times.lease/3 {
			continue
		}
		packer.Add(m.name, (c.now.WallMS-quiet.Milliseconds())/100*100) // rounded, so that it stays the same
	}
	values, err := packer.Encode()
	if err != nil {
		return nil, err
	}
	texts := make([]string, len(values))
	for i, value := range values {
		texts[i] = string(value)
	}
	return texts, nil
}

// changes gives what has to be written, as much as a transaction holds, and what stands in the state service
// after it: the rest goes with the next one. Keys are added from the first on and taken away from the last on, so
// that those in use have no gap.
func (s *unreachableHints) changes(next []string) (ops []wire.Op, after []string) {
	after = slices.Clone(s.written)
	most := s.leader.core.maxValuesPerTxn()
	for len(after) > len(next) && len(ops) < most {
		after = after[:len(after)-1]
		ops = append(ops, wire.Op{Delete: stored.UnreachableHintKey(len(after))})
	}
	for part, text := range next {
		if len(ops) >= most || part < len(after) && after[part] == text {
			continue
		}
		if part == len(after) {
			after = append(after, "")
		}
		after[part] = text
		ops = append(ops, wire.Op{Put: stored.UnreachableHintKey(part), Value: json.RawMessage(text)})
	}
	return ops, after
}

// lastHeardByPredecessor gives when a machine that is new to this leader was last heard, as far as
// the last one told.
func (l *leader) lastHeardByPredecessor(name string) time.Duration {
	now := l.core.now
	at, told := l.core.cache.LastHeardMS(name)
	if !told {
		return now.Steady
	}
	ago := time.Duration(now.WallMS-at)*time.Millisecond - 2*l.core.clockError()
	return now.Steady - max(0, ago)
}

// clockError is what the time of day of a node may be off.
func (c *Core) clockError() time.Duration {
	return time.Duration(c.settings.Params.ClockErrorMS * float64(time.Millisecond))
}
