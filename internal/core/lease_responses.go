package core

import (
	"time"

	"bitternwing/internal/wire"
)

// LeaseBasis is why a node may answer a report so that the worker's lease is renewed.
type LeaseBasis int

// The bases. LeaseBases is how many there are.
const (
	// LeaderBasis: this node leads and has read the records.
	LeaderBasis LeaseBasis = iota
	// UnreadLeaderBasis: it leads, and has yet to read the records.
	RecoveringLeaderBasis
	// LateReportBasis: it leads, and the report is older than one that it has taken in.
	StaleHeartbeatBasis
	// GoneMachineBasis: it leads, and the machine was given back or is gone otherwise.
	RemovedMachineBasis
	// RelayBasis: another node leads that the worker can't reach.
	RelayBasis
	// VacancyBasis: nobody leads, between two terms.
	VacancyBasis
	// NoStateBasis: the state service serves no node that answers, and none of them leads.
	StoreOutageBasis
	// CutZoneBasis: the zone of this node and of the worker is cut off.
	IsolatedZoneBasis
	LeaseBasisCount
)

// leaseBasisNames are the names in logs and metrics.
var leaseBasisNames = [LeaseBasisCount]string{"leader", "unread_leader", "late_report", "gone_machine", "relay", "vacancy", "no_state", "cut_zone"}

// String names a basis in logs and metrics.
func (b LeaseBasis) String() string { return leaseBasisNames[b] }

// leaseRenewals counts the answers that renew leases, and the stops of cancelled tasks in them, by their basis.
type leaseRenewals struct {
	responses [LeaseBasisCount]uint64
	stops     [LeaseBasisCount]uint64
	lastAt    [LeaseBasisCount]time.Duration
}

// leaseResponse is an answer to a report that renews the worker's lease. Whoever renews a lease lets the worker's tasks go
// on, so it has to stop what it knows to be cancelled: whether it leads, has read the records, or knows of the placements.
// newLeaseAnswer alone makes them, with these stops in front; what else the worker is told follows as far as there is room.
type leaseResponse struct {
	machine  string
	commands []wire.Command
	stopped  map[attemptName]bool // attempts of cancelled jobs that it stops
}

// maxCommands bounds the commands in an answer, so that its one line stays within the protocol's 64 KiB; the rest
// follows with the next. Tasks that are stopped exit, so the same ones don't take the room of others twice.
const maxCommands = 400

// newLeaseResponse begins an answer to a report with stops of the tasks whose jobs this node knows to be cancelled.
func (c *Core) newLeaseResponse(r *wire.Heartbeat) *leaseResponse {
	a := &leaseResponse{machine: r.Machine, commands: []wire.Command{}}
	for i := range r.Tasks {
		t := &r.Tasks[i]
		id, _, ok := wire.ParseTaskName(t.Task)
		if !ok || t.State == wire.TaskExited || a.full() || !c.isKnownCancelled(id) {
			continue
		}
		if a.stopped == nil {
			a.stopped = map[attemptName]bool{}
		}
		a.stopped[attemptName{t.Task, t.Attempt}] = true
		a.commands = append(a.commands, stopImmediately(t))
	}
	return a
}

// stopImmediately stops a task without time to save.
func stopImmediately(t *wire.TaskStatus) wire.Command {
	grace := 0.0
	return wire.Command{Op: wire.OpStop, Task: t.Task, Attempt: t.Attempt, GracePeriodS: &grace}
}

// full tells whether there is no room for another command.
func (a *leaseResponse) full() bool { return len(a.commands) >= maxCommands }

// add adds a command, unless there is no room or its attempt is stopped already.
func (a *leaseResponse) add(command wire.Command) {
	if !a.full() && !a.stopped[attemptName{command.Task, command.Attempt}] {
		a.commands = append(a.commands, command)
	}
}

// renewLease answers a report with 200, which renews the worker's lease. No other code does.
func (c *Core) renewLease(req uint64, basis LeaseBasis, token uint64, a *leaseResponse) {
	c.countLeaseRenewal(basis)
	if n := len(a.stopped); n > 0 {
		c.leaseRenewals.stops[basis] += uint64(n)
		c.log(Debug, "stopping cancelled tasks", "worker", a.machine, "basis", basis, "tasks", n)
	}
	c.respond(req, 200, wire.HeartbeatResponse{FencingToken: token, Commands: a.commands})
}

// isKnownCancelled tells whether this node knows that a job is cancelled.
func (c *Core) isKnownCancelled(job string) bool {
	final, _ := c.cache.FinalState(job)
	return c.cache.Job(job).Cancelled() || final.State == wire.JobCancelled
}

// countLeaseRenewal counts an answer. The first one on a basis, or the first for a lease, is logged.
func (c *Core) countLeaseRenewal(basis LeaseBasis) {
	last := &c.leaseRenewals.lastAt[basis]
	if *last == 0 || c.now.Steady-*last > c.times.lease {
		c.log(Debug, "renewing worker leases", "basis", basis, "earlier_responses", c.leaseRenewals.responses[basis])
	}
	*last = c.now.Steady
	c.leaseRenewals.responses[basis]++
}
