package core

import (
	"net/http"
	"time"

	"bitternwing/internal/wire"
)

// LeaseBasis is the basis on which a node may renew a worker's lease by responding to its heartbeat.
type LeaseBasis int

// Lease bases. LeaseBasisCount is their number.
const (
	// LeaderBasis: this node leads and has recovered the state.
	LeaderBasis LeaseBasis = iota
	// RecoveringLeaderBasis: this node leads but has not recovered the state yet.
	RecoveringLeaderBasis
	// StaleHeartbeatBasis: this node leads and has already handled a newer heartbeat of the worker.
	StaleHeartbeatBasis
	// RemovedMachineBasis: this node leads and has removed the machine.
	RemovedMachineBasis
	// RelayBasis: another node leads that the worker can't reach.
	RelayBasis
	// VacancyBasis: no node leads, between two terms.
	VacancyBasis
	// StoreOutageBasis: the key-value store is unavailable to all nodes and no node leads.
	StoreOutageBasis
	// IsolatedZoneBasis: the zone of this node and of the worker is isolated from the others.
	IsolatedZoneBasis
	LeaseBasisCount
)

// leaseBasisNames are the names of the bases in logs and metrics.
var leaseBasisNames = [LeaseBasisCount]string{
	"leader", "unread_leader", "late_report", "gone_machine", "relay", "vacancy", "no_state", "cut_zone",
}

// String returns the name of the basis in logs and metrics.
func (b LeaseBasis) String() string { return leaseBasisNames[b] }

// leaseRenewals counts the responses that renew leases, and the stops of cancelled tasks in them, by basis.
type leaseRenewals struct {
	responses [LeaseBasisCount]uint64
	stops     [LeaseBasisCount]uint64
	lastAt    [LeaseBasisCount]time.Duration
}

// leaseResponse is a response to a heartbeat that renews the worker's lease. A renewed lease keeps the worker's tasks
// running, so each node that renews one must stop the tasks that it knows to be cancelled, whether or not it leads, has
// recovered the state or knows the placements. All lease responses are created by newLeaseResponse, which puts these
// stops first. Other commands follow while there is room.
type leaseResponse struct {
	machine  string
	commands []wire.Command
	stopped  map[attemptName]bool // attempts of cancelled jobs that the response stops
}

// maxCommands bounds the commands in a response, which is a single line, so that it stays within the protocol's limit
// of 64 KiB. The remaining commands follow in the next response. Stopped tasks exit, so the same stops don't take up
// the room in later responses.
const maxCommands = 400

// newLeaseResponse returns a response to a heartbeat that stops the tasks whose jobs this node knows to be cancelled.
// Other commands may be added to it.
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

// stopCancelled adds the command to stop a cancelled job's task. Later commands for the same attempt are left out.
func (r *leaseResponse) stopCancelled(task *wire.TaskStatus) {
	if r.stopped == nil {
		r.stopped = map[attemptName]bool{}
	}
	r.stopped[attemptName{task.Task, task.Attempt}] = true
	r.commands = append(r.commands, stopImmediately(task))
}

// stopImmediately returns the command to stop a task without a grace period for a checkpoint.
func stopImmediately(task *wire.TaskStatus) wire.Command {
	gracePeriodS := 0.0
	return wire.Command{Op: wire.OpStop, Task: task.Task, Attempt: task.Attempt, GracePeriodS: &gracePeriodS}
}

// full reports whether there is no room for another command.
func (r *leaseResponse) full() bool { return len(r.commands) >= maxCommands }

// add adds a command unless the response is full or already stops the command's attempt.
func (r *leaseResponse) add(command wire.Command) {
	if !r.full() && !r.stopped[attemptName{command.Task, command.Attempt}] {
		r.commands = append(r.commands, command)
	}
}

// renewLease responds to a heartbeat with status 200, which renews the worker's lease. No other code responds to a
// heartbeat with 200.
func (c *Core) renewLease(requestID uint64, basis LeaseBasis, token uint64, response *leaseResponse) {
	c.countLeaseRenewal(basis)
	if n := len(response.stopped); n > 0 {
		c.leaseRenewals.stops[basis] += uint64(n)
		c.log(Debug, "stopping cancelled tasks", "worker", response.machine, "basis", basis, "tasks", n)
	}
	c.respond(requestID, http.StatusOK, wire.HeartbeatResponse{FencingToken: token, Commands: response.commands})
}

// isKnownCancelled reports whether this node knows that a job is cancelled.
func (c *Core) isKnownCancelled(job string) bool {
	final, _ := c.cache.FinalState(job)
	return c.cache.Job(job).Cancelled() || final.State == wire.JobCancelled
}

// countLeaseRenewal counts a response. It logs the first one on a basis, and the first one after a pause of a lease.
func (c *Core) countLeaseRenewal(basis LeaseBasis) {
	last := &c.leaseRenewals.lastAt[basis]
	if *last == 0 || c.now.Steady-*last > c.times.lease {
		c.log(Debug, "renewing worker leases", "basis", basis, "earlier_responses", c.leaseRenewals.responses[basis])
	}
	*last = c.now.Steady
	c.leaseRenewals.responses[basis]++
}
