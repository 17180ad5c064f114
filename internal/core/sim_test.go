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

// simulation is a cluster of pure cores with a simulated key-value store, cloud, users and workers, in which every
// message takes time. Faults are those that operators meet. A ruleChecker observes what happens on the machines and what
// users are told. All of it follows from the script and its seed, so a day plays the same way each time.
type simulation struct {
	tb          testing.TB
	random      *rand.Rand
	now         time.Duration
	queue       eventQueue
	sequence    uint64
	ruleChecker *ruleChecker
	params      config.Params
	zones       map[string]string // of nodes

	store           *emulator.Store
	watches         []*storeWatch
	nodes           []*simulatedNode
	workers         []*simulatedWorker // in the order in which they came
	workerByName    map[string]*simulatedWorker
	machineLists    []machineList
	rentedByRequest map[string][]string // names of machines, by request ID
	machinesPerZone int                 // machines that the cloud has in a zone
	completedTasks  map[string]bool     // by task name
	jobs            []*simulatedJob

	storeOutageUntil, cloudOutageUntil time.Duration // both refuse all calls until then
	storeDelay                         time.Duration // longest additional delay of a store call, each way
	storeDelayUntil                    time.Duration
	lateTransactionShare               float64 // share of transactions that are committed late, without a response
	lateHeartbeatShare                 float64 // share of heartbeats of which a copy arrives late
	bootFailureShare                   float64 // share of new machines that never boot
	bootFactor                         float64 // by which the boot times of the others are multiplied
	lateCommandShare                   float64 // share of direct commands that are delayed, or repeated late
	partitioned                        bool    // no zone reaches another
	isolatedZone                       string  // cut off from all other zones, the store and the cloud; empty: none

	pollStatuses map[int]int // number of responses to polls of a script, by status

	faultsEnd time.Duration // when the last fault of the script has ended
	end       time.Duration
	shown     strings.Builder // the part of the journal that a kept trace holds
	digest    *outputDigest
	journal   strings.Builder // all that happened, to diagnose a broken rule
}

type scheduledEvent struct {
	at       time.Duration
	sequence uint64
	action   func()
}

type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(a, b int) bool {
	return q[a].at < q[b].at || q[a].at == q[b].at && q[a].sequence < q[b].sequence
}
func (q eventQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

const (
	heartbeatInterval = time.Second
	workerLease       = 10 * time.Second
	cancellationLimit = 30 * time.Second
	bootSeconds       = 8.0
)

func newSimulation(tb testing.TB, seed uint64, zones map[string]string) *simulation {
	tb.Helper()
	s := &simulation{tb: tb, random: rand.New(rand.NewPCG(seed, 1)), now: time.Second, zones: zones, store: emulator.NewStore(),
		digest:       newOutputDigest(),
		workerByName: map[string]*simulatedWorker{}, rentedByRequest: map[string][]string{}, completedTasks: map[string]bool{}, machinesPerZone: 4}
	limits := map[string]float64{"red": 8, "blue": 16, "green": 48, "guest": 32}
	s.ruleChecker = newRuleChecker(limits, cancellationLimit)
	s.params = config.Params{Nodes: 3, Zones: []string{"z1", "z2"}, ClockErrorMS: 5,
		Teams:   []config.Team{{Name: "red", GuaranteedGPUs: 4, MaxGPUs: 8}, {Name: "blue", GuaranteedGPUs: 8, MaxGPUs: 16}, {Name: "green", GuaranteedGPUs: 16, MaxGPUs: 48}, {Name: "guest", MaxGPUs: 32}},
		Workers: config.Workers{HeartbeatIntervalS: heartbeatInterval.Seconds(), LeaseS: workerLease.Seconds(), CancelDeadlineS: cancellationLimit.Seconds()},
		Store:   config.Store{RPS: 150, WriteRPS: 60, ValueKB: 16, TxnOps: 12},
		Cloud:   config.Cloud{RPS: 2, ListLagS: 2},
		Limits:  config.ProcessLimits{CPUShare: 0.06, MemoryMB: 98, MaxConnections: 600}}
	for _, name := range []string{"a", "b", "c"} {
		s.nodes = append(s.nodes, &simulatedNode{name: name, zone: zones[name]})
	}
	for _, node := range s.nodes {
		s.startNode(node)
	}
	s.every(500*time.Millisecond, s.recordMachineList)
	s.every(100*time.Millisecond, func() { s.ruleChecker.checkCancelledJobs(s.now) })
	s.every(time.Second, s.checkCapacityIndex)
	return s
}

// checkCapacityIndex checks that each leader's index of room is what it would be if it were built anew.
func (s *simulation) checkCapacityIndex() {
	for _, node := range s.nodes {
		if node.core == nil {
			continue
		}
		if err := node.core.CheckCapacityIndex(); err != nil {
			s.tb.Errorf("at %v: %s: %v", s.now, node.name, err)
		}
	}
}

func (s *simulation) at(t time.Duration, f func()) {
	s.sequence++
	heap.Push(&s.queue, scheduledEvent{max(t, s.now), s.sequence, f})
}

func (s *simulation) after(d time.Duration, f func()) { s.at(s.now+d, f) }

func (s *simulation) every(d time.Duration, f func()) {
	f()
	s.after(d, func() { s.every(d, f) })
}

func (s *simulation) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(s.random.Int64N(int64(hi-lo)+1))
}

func (s *simulation) latency() time.Duration {
	return s.between(200*time.Microsecond, 3*time.Millisecond)
}

// show adds a line to the kept trace and to the journal.
func (s *simulation) show(format string, args ...any) {
	line := fmt.Sprintf("%7.2f %s\n", s.now.Seconds(), fmt.Sprintf(format, args...))
	s.shown.WriteString("| " + line)
	s.journal.WriteString(line)
}

// record adds a line to the journal alone.
func (s *simulation) record(format string, args ...any) {
	fmt.Fprintf(&s.journal, "%9.4f     %s\n", s.now.Seconds(), fmt.Sprintf(format, args...))
}

// run plays until the end.
func (s *simulation) run() {
	for len(s.queue) > 0 && s.queue[0].at <= s.end {
		e := heap.Pop(&s.queue).(scheduledEvent)
		s.now = e.at
		if s.now >= s.storeOutageUntil {
			if s.storeOutageUntil != 0 {
				s.storeOutageUntil = 0
				s.store.RefreshLeases(s.now)
			}
			s.store.AdvanceTo(s.now)
		}
		e.action()
		s.answerWatches()
	}
	s.now = s.end
}
