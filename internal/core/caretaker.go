package core

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"bitternwing/internal/call"
	"bitternwing/internal/wire"
)

// caretaker keeps workers alive that can't reach the leader although it leads, as
// when two zones can't reach each other. It answers their reports with the leader's
// token and passes the reports on through the state service, where the leader takes
// them as evidence like any other. It starts nothing. The one thing it orders by
// itself is to stop tasks of cancelled jobs, which is right whoever leads.
type caretaker struct {
	c       *Core
	term    uint64
	kept    map[string]*keptWorker
	names   []string                 // of kept, in the order in which they came
	asked   map[string]time.Duration // workers sent to the leader, and when
	leadOK  time.Duration            // when the lead key was last seen to be current
	asking  bool
	askAt   time.Duration
	writing bool
	writeAt time.Duration
	shards  int // keys written last
}

type keptWorker struct {
	report *wire.Report
	at     time.Duration
}

const keyKept = "w/k/"

func newCaretaker(c *Core) *caretaker {
	return &caretaker{c: c, kept: map[string]*keptWorker{}, asked: map[string]time.Duration{}}
}

// cutOff tells whether the leader leads but can't be reached from here.
func (k *caretaker) cutOff() bool {
	c := k.c
	if c.lead != nil || c.dir.leadVersion == 0 || c.dir.lead.Node == c.set.Node || c.stateDown {
		return false
	}
	for _, p := range c.peers {
		if p.node == c.dir.lead.Node {
			return p.askedAt != 0 && !p.reached
		}
	}
	return false
}

// current tells whether the leader's term was seen in the state service just now.
func (k *caretaker) current() bool {
	return k.leadOK != 0 && k.c.now.Steady-k.leadOK < 2*k.c.t.report
}

// checkin answers a worker in the leader's place; false if that is not due.
func (k *caretaker) checkin(in Checkin) bool {
	c, r := k.c, in.Report
	now := c.now.Steady
	term := c.dir.lead.Term
	if !k.cutOff() || !k.current() || termOf(r.Token) > term || len(r.Tasks) == 0 {
		// Without tasks there is nothing to keep alive: it had better find the leader.
		return false
	}
	if _, known := k.kept[r.Machine]; !known {
		// A worker of another zone may reach the leader from where it is: it is sent
		// there first, and kept if it comes back.
		at, was := k.asked[r.Machine]
		if r.Zone != c.set.Zone && (!was || now-at > c.t.lease) {
			if len(k.asked) > 10_000 {
				clear(k.asked)
			}
			k.asked[r.Machine] = now
			return false
		}
		k.names = append(k.names, r.Machine)
		c.log(Debug, "keeping worker for the leader", "machine", r.Machine, "leader", c.dir.lead.Node)
	}
	if old := k.kept[r.Machine]; old == nil || r.Session > old.report.Session ||
		r.Session == old.report.Session && r.Seq > old.report.Seq {
		k.kept[r.Machine] = &keptWorker{r, now}
	}
	if k.term != term {
		k.term = term
		c.log(Info, "keeping workers for a leader out of reach", "leader", c.dir.lead.Node, "term", term)
	}
	cmds := []wire.Command{}
	zero := 0.0
	for _, t := range r.Tasks {
		id, _, ok := wire.ParseTask(t.Task)
		if !ok || t.State == wire.TaskExited || len(cmds) >= mostCommands {
			continue
		}
		e, f := c.dir.jobs[id], c.dir.finals[id]
		if e != nil && e.CancelledMS != 0 || f.State == wire.JobCancelled {
			cmds = append(cmds, wire.Command{Op: wire.OpStop, Task: t.Task, Attempt: t.Attempt, GraceS: &zero})
		}
	}
	c.answer(in.Req, 200, wire.ReportAnswer{Token: max(firstToken(term), r.Token), Commands: cmds})
	return true
}

// run keeps the knowledge of the leader's term fresh while it is needed, and writes
// the reports of kept workers.
func (k *caretaker) run() {
	c := k.c
	now := c.now.Steady
	cut := k.cutOff()
	if cut && !k.asking {
		if now < k.askAt {
			c.at(k.askAt)
		} else {
			k.asking = true
			k.askAt = now + c.t.report/2
			id := c.stateCall(func(r Result) {
				k.asking = false
				if r.Outcome == call.OK {
					k.leadOK = r.Sent
				}
			})
			c.send(StateTxn{ID: id, Txn: wire.Txn{If: []wire.Cond{c.dir.leadCond()}}})
		}
	}
	if !cut {
		if k.term != 0 {
			c.log(Info, "no longer keeping workers", "workers", len(k.kept))
			k.term = 0
		}
		clear(k.kept)
		clear(k.asked)
		k.names = k.names[:0]
	}
	if k.writing || len(k.names) == 0 && k.shards == 0 || c.stateDown {
		return
	}
	if now < k.writeAt {
		c.at(k.writeAt)
		return
	}
	k.writeAt = now + 2*c.t.report
	k.write()
}

// write passes the reports on, as many to a key as fit.
func (k *caretaker) write() {
	c := k.c
	var txn wire.Txn
	var shard []json.RawMessage
	size := 0
	flush := func() {
		value, err := json.Marshal(shard)
		if err == nil && len(txn.Then) < c.set.Params.State.TxnOps {
			txn.Then = append(txn.Then, wire.Op{Put: k.key(len(txn.Then)), Value: value})
		}
		shard, size = nil, 0
	}
	most := min(int(c.set.Params.State.ValueKB*1024), wire.MaxBody/4) * 9 / 10
	for _, name := range k.names {
		w := k.kept[name]
		if c.now.Steady-w.at > c.t.lease {
			continue
		}
		b, err := json.Marshal(w.report)
		if err != nil || len(b) > most {
			continue
		}
		if size+len(b) > most {
			flush()
		}
		shard = append(shard, b)
		size += len(b) + 1
	}
	if len(shard) > 0 {
		flush()
	}
	n := len(txn.Then)
	for i := n; i < k.shards && len(txn.Then) < c.set.Params.State.TxnOps; i++ {
		txn.Then = append(txn.Then, wire.Op{Delete: k.key(i)})
	}
	if len(txn.Then) == 0 {
		k.shards = 0
		return
	}
	k.writing = true
	id := c.stateCall(func(r Result) {
		k.writing = false
		if r.Outcome == call.OK {
			k.shards = n
		} else {
			k.shards = max(k.shards, n)
		}
	})
	c.send(StateTxn{ID: id, Txn: txn})
}

func (k *caretaker) key(i int) string { return keyKept + k.c.set.Node + "/" + strconv.Itoa(i) }

// noticeKept hands reports that another node passed on to the leader.
func (c *Core) noticeKept(key string, value json.RawMessage) {
	if c.lead == nil || value == nil || !strings.HasPrefix(key, keyKept) {
		return
	}
	var reports []*wire.Report
	if json.Unmarshal(value, &reports) != nil {
		return
	}
	for _, r := range reports {
		if r != nil && r.Machine != "" && termOf(r.Token) <= c.lead.term {
			c.lead.relayed(r)
		}
	}
}

// relayed takes in a report that came by another node. It is evidence as any other,
// and the machine is alive; but starts can't reach it that way.
func (l *leader) relayed(r *wire.Report) {
	m := l.machines[r.Machine]
	if !l.loaded || m == nil || m.up && (r.Session < m.session || r.Session == m.session && r.Seq <= m.seq) {
		return
	}
	m.kept = l.c.now.Steady
	m.describe(r.Type, r.Zone, r.Addr, r.Spot)
	m.enter(r.Session)
	m.up, m.seenUp, m.missing = true, true, 0
	m.seq, m.token = r.Seq, r.Token
	m.notice = m.notice || r.NoticeS != nil
	l.evidence(m, r)
}
