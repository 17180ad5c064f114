package core

import (
	"net/http"
	"time"

	"bitternwing/internal/wire"
)

// LeaseBasis is why a node may respond to a heartbeat so that the worker's lease is renewed.
type LeaseBasis int

// The bases. LeaseBasisCount is how many there are.
const (
	// LeaderBasis: this node leads and has recovered the state.
	LeaderBasis LeaseBasis = iota
	// RecoveringLeaderBasis: it leads, and has yet to recover the state.
	RecoveringLeaderBasis
	// StaleHeartbeatBasis: it leads, and the heartbeat is older than one that it has taken in.
	StaleHeartbeatBasis
	// RemovedMachineBasis: it leads, and the machine was released or is gone otherwise.
	RemovedMachineBasis
	// RelayBasis: another node leads that the worker can't reach.
	RelayBasis
	// VacancyBasis: nobody leads, between two terms.
	VacancyBasis
	// StoreOutageBasis: the key-value store serves no node that responds, and none of them leads.
	StoreOutageBasis
	// IsolatedZoneBasis: the zone of this node and of the worker is cut off from the others.
	IsolatedZoneBasis
	LeaseBasisCount
)

// leaseBasisNames are the names in logs and metrics.
var leaseBasisNames = [LeaseBasisCount]string{"leader", "unread_leader", "late_report", "gone_machine", "relay", "vacancy", "no_state", "cut_zone"}

// String names a basis in logs and metrics.
func (b LeaseBasis) String() string { return leaseBasisNames[b] }

// leaseRenewals counts the responses that renew leases, and the stops of cancelled tasks in them, by their basis.
type leaseRenewals struct {
	responses [LeaseBasisCount]uint64
	stops     [LeaseBasisCount]uint64
	lastAt    [LeaseBasisCount]time.Duration
}

// leaseResponse is a response to a heartbeat that renews the worker's lease. Whoever renews a lease lets the worker's
// tasks go on, so it has to stop what it knows to be cancelled: whether or not it leads, has recovered the state, or
// knows of the placements. newLeaseResponse alone makes them, with these stops in front; other commands follow as far
// as there is room.
type leaseResponse struct {
	machine  string
	commands []wire.Command
	stopped  map[attemptName]bool // attempts of cancelled jobs that it stops
}

// maxCommands bounds the commands in a response, so that its one line stays within the protocol's 64 KiB; the rest
// follows with the next. Tasks that are stopped exit, so the same ones don't take the room of others twice.
const maxCommands = 400

// newLeaseResponse begins the response to a heartbeat with stops of the tasks whose jobs this node knows to be
// cancelled.
func (c *Core) newLeaseResponse(heartbeat *wire.Heartbeat) *leaseResponse {
	response := &leaseResponse{machine: heartbeat.Machine, commands: []wire.Command{}}
	for i := range heartbeat.Tasks {
		task := &heartbeat.Tasks[i]
		id, _, ok := wire.ParseTaskName(task.Task)
		if ok && task.State != wire.TaskExited && !response.full() && c.isKnownCancelled(id) {
			response.stopCancelled(task)
		}
	}
	return response
}

// stopCancelled adds the stop of a cancelled job's task. Other commands for the same attempt are left out.
func (r *leaseResponse) stopCancelled(task *wire.TaskStatus) {
	if r.stopped == nil {
		r.stopped = map[attemptName]bool{}
	}
	r.stopped[attemptName{task.Task, task.Attempt}] = true
	r.commands = append(r.commands, stopImmediately(task))
}

// stopImmediately stops a task without time for a checkpoint.
func stopImmediately(task *wire.TaskStatus) wire.Command {
	gracePeriodS := 0.0
	return wire.Command{Op: wire.OpStop, Task: task.Task, Attempt: task.Attempt, GracePeriodS: &gracePeriodS}
}

// full tells whether there is no room for another command.
func (r *leaseResponse) full() bool { return len(r.commands) >= maxCommands }

// add adds a command, unless there is no room or its attempt is stopped already.
func (r *leaseResponse) add(command wire.Command) {
	if !r.full() && !r.stopped[attemptName{command.Task, command.Attempt}] {
		r.commands = append(r.commands, command)
	}
}

// renewLease responds to a heartbeat with 200, which renews the worker's lease. No other code does.
func (c *Core) renewLease(requestID uint64, basis LeaseBasis, token uint64, response *leaseResponse) {
	c.countLeaseRenewal(basis)
	if n := len(response.stopped); n > 0 {
		c.leaseRenewals.stops[basis] += uint64(n)
		c.log(Debug, "stopping cancelled tasks", "worker", response.machine, "basis", basis, "tasks", n)
	}
	c.respond(requestID, http.StatusOK, wire.HeartbeatResponse{FencingToken: token, Commands: response.commands})
}

// isKnownCancelled tells whether this node knows that a job is cancelled.
func (c *Core) isKnownCancelled(job string) bool {
	final, _ := c.cache.FinalState(job)
	return c.cache.Job(job).Cancelled() || final.State == wire.JobCancelled
}

// countLeaseRenewal counts a response. The first one on a basis, or the first for a lease, is logged.
func (c *Core) countLeaseRenewal(basis LeaseBasis) {
	last := &c.leaseRenewals.lastAt[basis]
	if *last == 0 || c.now.Steady-*last > c.times.lease {
		c.log(Debug, "renewing worker leases", "basis", basis, "earlier_responses", c.leaseRenewals.responses[basis])
	}
	*last = c.now.Steady
	c.leaseRenewals.responses[basis]++
}
