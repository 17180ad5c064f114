package core

// Phase is a part of a step whose cost is reported separately.
type Phase int

// The phases of a step. A phase may begin several times in a step.
const (
	PhaseInput        Phase = iota // the handling of the input
	PhaseUpkeep                    // work of every node: the store watch, peers, dependencies, the election
	PhaseRecovery                  // restoring the state of earlier terms
	PhaseFleet                     // checks of machines and cancelled jobs
	PhaseCyclePrepare              // the start of a scheduling cycle: capacity index, usage, guarantees
	PhaseMinimums                  // minimums of jobs
	PhaseElastic                   // free resources for arrays
	PhaseRebalancing               // rebalancing of replicas
	PhaseCapacity                  // the capacity plan
	PhaseWrites                    // transactions of the leader
	PhaseCommands                  // commands to workers, held responses, calls to the cloud
	PhaseUsers                     // queued requests of users
	PhaseCount
)

var phaseNames = [PhaseCount]string{"input", "upkeep", "recovery", "fleet", "cycle_prepare", "minimums", "elastic",
	"rebalancing", "capacity", "writes", "commands", "users"}

// String returns the phase's name in logs and metrics.
func (p Phase) String() string { return phaseNames[p] }

// ObservePhases sets the function that is called whenever a phase begins. The core has no clock: its host measures the
// durations.
func (c *Core) ObservePhases(begin func(Phase)) { c.observePhase = begin }

// beginPhase tells the host that a phase begins.
func (c *Core) beginPhase(phase Phase) {
	if c.observePhase != nil {
		c.observePhase(phase)
	}
}

// CycleWork counts what a scheduling cycle and its capacity plan did. It does not name jobs or teams.
type CycleWork struct {
	JobsBelowMinimum int // jobs that lacked their minimum
	TasksPlaced      int // placements made, including those that were reverted
	TasksReverted    int // placements reverted because the rest of the job did not fit
	Reservations     int // reservations of a machine's resources, for as many tasks as need no further stops there
	UnmetTasks       int // tasks without a machine that the capacity plan was given
	MachineChecks    int // checks of the capacity plan whether a task fits an upcoming machine
	TasksPacked      int // tasks that the capacity plan assigned to upcoming machines
	MachinesPlanned  int // machines that the capacity plan added
	Evaluations      int // evaluations charged to the budget
}

// StepSize is the size of the state that the steps of a node work on.
type StepSize struct {
	Jobs     int // jobs that the leader knows
	Queued   int // of these, jobs in the queue
	Unplaced int // tasks of queued jobs that are neither done nor placed
	Machines int
}

// LastCycleWork returns what the last scheduling cycle of this node did.
func (c *Core) LastCycleWork() CycleWork { return c.lastCycleWork }

// StepSize returns the size of the leader's state; zero if this node does not lead.
func (c *Core) StepSize() StepSize {
	l := c.leader
	if l == nil {
		return StepSize{}
	}
	size := StepSize{Jobs: len(l.jobs), Queued: len(l.queue), Machines: len(l.machines)}
	for _, j := range l.queue {
		size.Unplaced += j.unplaced()
	}
	return size
}
