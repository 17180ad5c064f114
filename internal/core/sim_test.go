package core_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"bitternwing/internal/config"
	"bitternwing/internal/emulator"
)

// sim is a small world around pure cores, in which every message takes time: a state service,
// a cloud, users, and workers that do what the protocol's page says. Its troubles are those
// that operators know. A ruleChecker looks on. What happens follows from the script and its seed
// alone, so a day plays the same way each time.
type sim struct {
	t           testing.TB
	rnd         *rand.Rand
	now         time.Duration
	queue       events
	seq         uint64
	ruleChecker *ruleChecker
	set         config.Params
	zones       map[string]string // of nodes

	store   *emulator.Store
	watches []*simWatch
	nodes   []*simNode
	workers []*simWorker // in the order in which they came
	byName  map[string]*simWorker
	lists   []simList
	rented  map[string][]string // by request
	perZone int                 // machines that the cloud has in a zone
	results map[string]bool     // completed tasks
	jobs    []*simJob

	outage, cloudOut time.Duration // until then
	slow             time.Duration // what the state service takes longer
	slowUntil        time.Duration
	lateWrites       float64 // share of transactions that get no answer and come late
	lateReports      float64 // share of reports of which a copy comes late
	bootFail         float64 // share of new machines that never come up
	bootFactor       float64 // how much longer the others take
	lateOrders       float64 // share of direct commands that are held up, or repeated late
	partition        bool    // zones can't reach each other
	zoneCut          string  // this zone is cut off from everything

	polled map[int]int // answers to many polls, by status

	calm   time.Duration // troubles are over
	end    time.Duration
	out    strings.Builder // what a reader of the trace is shown
	digest *outputDigest
	all    strings.Builder // everything, to find out why
}

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(a, b int) bool {
	return q[a].at < q[b].at || q[a].at == q[b].at && q[a].seq < q[b].seq
}
func (q events) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

const (
	simReport = time.Second
	simLease  = 10 * time.Second
	simCancel = 30 * time.Second
	simBoot   = 8.0
)

func newSim(tb testing.TB, seed uint64, zones map[string]string) *sim {
	tb.Helper()
	s := &sim{t: tb, rnd: rand.New(rand.NewPCG(seed, 1)), now: time.Second, zones: zones, store: emulator.NewStore(),
		digest: newOutputDigest(),
		byName: map[string]*simWorker{}, rented: map[string][]string{}, results: map[string]bool{}, perZone: 4}
	limits := map[string]float64{"red": 8, "blue": 16, "green": 48, "guest": 32}
	s.ruleChecker = newRuleChecker(limits, simCancel)
	s.set = config.Params{Nodes: 3, Zones: []string{"z1", "z2"}, ClockErrorMS: 5,
		Teams:   []config.Team{{Name: "red", GuaranteedGPUs: 4, MaxGPUs: 8}, {Name: "blue", GuaranteedGPUs: 8, MaxGPUs: 16}, {Name: "green", GuaranteedGPUs: 16, MaxGPUs: 48}, {Name: "guest", MaxGPUs: 32}},
		Workers: config.Workers{HeartbeatIntervalS: simReport.Seconds(), LeaseS: simLease.Seconds(), CancelS: simCancel.Seconds()},
		Store:   config.Store{RPS: 150, WriteRPS: 60, ValueKB: 16, TxnOps: 12},
		Cloud:   config.Cloud{RPS: 2, ListLagS: 2},
		Limits:  config.Limits{CPUShare: 0.06, MemoryMB: 98, MaxConnections: 600}}
	for _, name := range []string{"a", "b", "c"} {
		s.nodes = append(s.nodes, &simNode{name: name, zone: zones[name]})
	}
	for _, n := range s.nodes {
		s.start(n)
	}
	s.every(500*time.Millisecond, s.takeList)
	s.every(100*time.Millisecond, func() { s.ruleChecker.passes(s.now) })
	s.every(time.Second, s.checkCapacityIndex)
	return s
}

// checkCapacityIndex checks that each leader's index of room is what it would be if it were built anew.
func (s *sim) checkCapacityIndex() {
	for _, n := range s.nodes {
		if n.core == nil {
			continue
		}
		if err := n.core.CheckCapacityIndex(); err != nil {
			s.t.Errorf("at %v: %s: %v", s.now, n.name, err)
		}
	}
}

func (s *sim) at(t time.Duration, f func()) {
	s.seq++
	heap.Push(&s.queue, event{max(t, s.now), s.seq, f})
}

func (s *sim) after(d time.Duration, f func()) { s.at(s.now+d, f) }

func (s *sim) every(d time.Duration, f func()) {
	f()
	s.after(d, func() { s.every(d, f) })
}

func (s *sim) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(s.rnd.Int64N(int64(hi-lo)+1))
}

func (s *sim) latency() time.Duration {
	return s.between(200*time.Microsecond, 3*time.Millisecond)
}

// say shows something to the reader; note keeps it for whoever looks for a cause.
func (s *sim) say(format string, args ...any) {
	line := fmt.Sprintf("%7.2f %s\n", s.now.Seconds(), fmt.Sprintf(format, args...))
	s.out.WriteString("| " + line)
	s.all.WriteString(line)
}

func (s *sim) note(format string, args ...any) {
	fmt.Fprintf(&s.all, "%9.4f     %s\n", s.now.Seconds(), fmt.Sprintf(format, args...))
}

// run plays until the end.
func (s *sim) run() {
	for len(s.queue) > 0 && s.queue[0].at <= s.end {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		if s.now >= s.outage {
			if s.outage != 0 {
				s.outage = 0
				s.store.RefreshLeases(s.now)
			}
			s.store.AdvanceTo(s.now)
		}
		e.do()
		s.answerWatches()
	}
	s.now = s.end
}
