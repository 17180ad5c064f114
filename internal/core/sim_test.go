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

// simulation runs a cluster of cores against a simulated key-value store, cloud, users and workers. Every message takes
// time, and the injected faults are ones that occur in production. A ruleChecker observes the tasks on the machines and
// the responses to users. A run is deterministic: it depends only on the script and its seed.
type simulation struct {
	tb          testing.TB
	random      *rand.Rand
	now         time.Duration
	queue       eventQueue
	sequence    uint64 // of the event that was scheduled last
	ruleChecker *ruleChecker
	params      config.Params
	zones       map[string]string // by node name

	store              *emulator.Store
	watches            []*pendingWatch
	nodes              []*simulatedNode
	workers            []*simulatedWorker // in the order in which they were added
	workerByName       map[string]*simulatedWorker
	machineLists       []machineList
	rentedByRequest    map[string][]string // machine names, by scale-out request ID
	machinesPerZone    int                 // number of machines that the cloud offers in each zone
	immediateResponses bool                // nodes do not hold responses to heartbeats back, so that most starts are sent directly
	completedTasks     map[string]bool     // by task name
	jobs               []*simulatedJob

	storeOutageUntil, cloudOutageUntil time.Duration // the store or the cloud refuses all calls until then
	releasesRefusedUntil               time.Duration // the cloud refuses to release machines until then
	storeDelay                         time.Duration // maximum additional delay of a store call, in each direction
	storeDelayUntil                    time.Duration
	slowResponsesUntil                 time.Duration
	slowResponseShare                  float64       // fraction of transactions that are executed at once and get a slow response
	delayedTransactionShare            float64       // fraction of transactions that are committed late, without a response
	copiedCommandsUntil                time.Duration // until then copies of executed direct commands arrive
	copiesBeforeFirstResponse          bool          // copies also reach a worker that has started anew and got no response yet
	copies                             copyOutcomes
	delayedHeartbeatShare              float64 // fraction of heartbeats of which a second copy arrives late
	bootFailureShare                   float64 // fraction of new machines that never boot
	bootFactor                         float64 // multiplier of the boot times of the others; 0: none
	delayedCommandShare                float64 // fraction of direct calls to workers that are delayed or repeated late
	partitioned                        bool    // no zone reaches another
	isolatedZone                       string  // zone cut off from other zones, store, cloud and users; empty: none

	pollStatuses map[int]int // number of responses to the polls of poll_load lines, by status

	faultsEnd time.Duration // when the last fault of the script ends
	end       time.Duration
	trace     strings.Builder // the events that are compared with the recorded trace
	digest    *outputDigest
	log       strings.Builder // all events, for diagnosing a rule violation
}

// scheduledEvent is an action that runs at a simulated time.
type scheduledEvent struct {
	at       time.Duration
	sequence uint64
	action   func()
}

// eventQueue is a heap of events, ordered by time and, at equal times, by when they were scheduled.
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
	bootSeconds       = 8.0 // nominal: see bootTime
)

// newSimulation returns a simulation of three running nodes, without machines and jobs.
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
	s.every(500*time.Millisecond, s.snapshotMachineList)
	s.every(100*time.Millisecond, func() { s.ruleChecker.checkCancelledJobs(s.now) })
	s.every(time.Second, s.checkCapacityIndex)
	return s
}

// checkCapacityIndex checks that each leader's capacity index equals one rebuilt from scratch.
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

// at schedules action for a time, or for now if that time has passed.
func (s *simulation) at(when time.Duration, action func()) {
	s.sequence++
	heap.Push(&s.queue, scheduledEvent{max(when, s.now), s.sequence, action})
}

// after schedules action after a delay.
func (s *simulation) after(delay time.Duration, action func()) { s.at(s.now+delay, action) }

// every runs action at once, and again at a fixed interval.
func (s *simulation) every(interval time.Duration, action func()) {
	action()
	s.after(interval, func() { s.every(interval, action) })
}

// between returns a random duration from lo to hi, both included.
func (s *simulation) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(s.random.Int64N(int64(hi-lo)+1))
}

// latency returns a random one-way message delay.
func (s *simulation) latency() time.Duration {
	return s.between(200*time.Microsecond, 3*time.Millisecond)
}

// tracef adds a line to the trace and to the log.
func (s *simulation) tracef(format string, args ...any) {
	line := fmt.Sprintf("%7.2f %s\n", s.now.Seconds(), fmt.Sprintf(format, args...))
	s.trace.WriteString("| " + line)
	s.log.WriteString(line)
}

// logf adds a line to the log only.
func (s *simulation) logf(format string, args ...any) {
	fmt.Fprintf(&s.log, "%9.4f     %s\n", s.now.Seconds(), fmt.Sprintf(format, args...))
}

// run processes events until the end time.
func (s *simulation) run() {
	for len(s.queue) > 0 && s.queue[0].at <= s.end {
		event := heap.Pop(&s.queue).(scheduledEvent)
		s.now = event.at
		if s.now >= s.storeOutageUntil {
			if s.storeOutageUntil != 0 {
				s.storeOutageUntil = 0
				s.store.RefreshLeases(s.now)
			}
			s.store.AdvanceTo(s.now)
		}
		event.action()
		s.respondToWatches()
	}
	s.now = s.end
}
