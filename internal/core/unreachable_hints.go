package core

import (
	"encoding/json"
	"time"

	"bitternwing/internal/call"
	"bitternwing/internal/wire"
)

// unreachableHints tell the next leader, where much of a zone is silent, since when its machines
// have been, in the state service: else each change of leaders would begin their time anew, although their tasks
// were long gone with their leases. It is a hint and no evidence: being wrong, it has a
// machine released sooner, and only the cloud's word ends what is on it.
const keyUnreachable = "w/s"

type unreachableHints struct {
	l    *leader
	at   time.Duration
	busy bool
	last string // as written; "": none
}

func (s *unreachableHints) run() {
	l, c := s.l, s.l.c
	if s.busy || c.stateDown || !l.entitled() || len(l.cutZones) == 0 && s.last == "" {
		return
	}
	if c.now.Steady < s.at {
		c.at(s.at)
		return
	}
	s.at = c.now.Steady + c.t.heartbeat
	since, size := map[string]int64{}, 0
	for _, m := range l.fleet {
		quiet := c.now.Steady - m.lastHeard()
		if _, many := l.cutZones[m.zone]; !many || m.releasing || quiet < l.c.t.lease/3 {
			continue
		}
		if size += len(m.name) + 20; size > c.mostValue() {
			break
		}
		since[m.name] = (c.now.WallMS - quiet.Milliseconds()) / 100 * 100 // it is to stay the same
	}
	value, err := json.Marshal(since)
	if err != nil {
		return
	}
	op, text := wire.Op{Put: keyUnreachable, Value: value}, string(value)
	if len(since) == 0 {
		op, text = wire.Op{Delete: keyUnreachable}, ""
	}
	if text == s.last {
		return
	}
	l.writes.tokens--
	s.busy = true
	id := l.stateCall(func(r Result) {
		s.busy = false
		if r.Outcome == call.OK {
			s.last = text
		}
	})
	c.send(StateTxn{ID: id, Txn: wire.Txn{If: []wire.Cond{{Key: keyTerm, Version: l.version}}, Then: []wire.Op{op}}})
}

// heardBefore gives when a machine that is new to this leader was last heard, as far as
// the last one told.
func (l *leader) heardBefore(name string) time.Duration {
	now := l.c.now
	at, told := l.c.dir.unreachableSince[name]
	if !told {
		return now.Steady
	}
	ago := time.Duration(now.WallMS-at)*time.Millisecond - 2*l.c.clockError()
	return now.Steady - max(0, ago)
}

// clockError is what the time of day of a node may be off.
func (c *Core) clockError() time.Duration {
	return time.Duration(c.set.Params.ClockOffMS * float64(time.Millisecond))
}
