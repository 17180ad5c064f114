package core_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"bitternwing/internal/core"
	"bitternwing/internal/outcome"
	"bitternwing/internal/wire"
)

// maxCopiedCommands bounds the direct commands of which a worker's network keeps a copy.
const maxCopiedCommands = 64

// commandCopies are copies of direct commands that a worker has executed and answered, or that were held up. While copies are delivered, all of
// them reach the worker again before and after each message that it handles, whenever its lease expires and when it
// resumes. Nothing else changes what it does with a copy, so these are all moments that matter.
type commandCopies struct {
	sent       []core.SendCommands
	delivering bool // copies of copies are not delivered
}

// copyOutcomes counts what became of the copies of starts in a simulation.
type copyOutcomes struct {
	lowerToken, otherIncarnation int // copied commands that the worker refused
	attemptHeld                  int // copied starts of attempts that the worker holds
	repeatedStarts               int // copied starts that started an attempt once more
}

// recordForCopies keeps a copy of direct commands to a worker, if they contain a start.
func (s *simulation) recordForCopies(worker *simulatedWorker, commands core.SendCommands) {
	if !hasCommand(commands.Commands, wire.OpStart) || worker.copies.delivering {
		return
	}
	sent := append(worker.copies.sent, commands)
	worker.copies.sent = sent[max(0, len(sent)-maxCopiedCommands):]
}

// hasCommand reports whether any of the commands has an operation.
func hasCommand(commands []wire.Command, op wire.CommandOp) bool {
	for _, command := range commands {
		if command.Op == op {
			return true
		}
	}
	return false
}

// holdCommands holds direct commands to a worker up in the network until the end of its hold_commands line. The node
// gets no response.
func (s *simulation) holdCommands(node *simulatedNode, worker *simulatedWorker, commands core.SendCommands) {
	incarnation, sentAt := node.incarnation, node.steadyTime(s.now)
	s.after(callTimeout, func() {
		if node.incarnation == incarnation {
			s.deliverInput(node, core.Result{CallID: commands.CallID, Outcome: outcome.Unknown, SentAt: sentAt})
		}
	})
	s.recordForCopies(worker, commands)
	s.at(worker.commandsHeldUntil, func() { s.deliverCopies(worker) })
}

// deliverCopies delivers copies of all recorded direct commands to a worker, while a copied_commands line lasts.
func (s *simulation) deliverCopies(worker *simulatedWorker) {
	copies := &worker.copies
	if s.now >= s.copiedCommandsUntil || s.now < worker.commandsHeldUntil || copies.delivering || worker.gone || !worker.up || s.now < worker.hungUntil {
		return
	}
	if worker.startedAnew && worker.fencingToken == 0 && !s.copiesBeforeFirstResponse {
		return
	}
	copies.delivering = true
	defer func() { copies.delivering = false }()
	for _, commands := range copies.sent {
		s.deliverCopy(worker, commands)
	}
}

// deliverCopy delivers a copy of direct commands to a worker.
func (s *simulation) deliverCopy(worker *simulatedWorker, commands core.SendCommands) {
	switch {
	case commands.FencingToken < worker.fencingToken:
		s.copies.lowerToken++
		return
	case commands.Incarnation != worker.incarnation:
		s.copies.otherIncarnation++
		return
	}
	worker.fencingToken = commands.FencingToken
	for _, command := range commands.Commands {
		if command.Op != wire.OpStart {
			continue
		}
		if worker.tasks[attemptKey(command.Task, command.Attempt)] != nil {
			s.copies.attemptHeld++
		} else {
			s.copies.repeatedStarts++
		}
	}
	s.executeCommands(worker, commands.Commands)
}

// checkFirstStart checks that a worker is given each attempt only once. A worker that has forgotten an attempt starts it
// again on a repeated command, although the controllers may have placed the task elsewhere since.
func (s *simulation) checkFirstStart(worker *simulatedWorker, command wire.Command) {
	attempt := attemptKey(command.Task, command.Attempt)
	if worker.startedAttempts[attempt] && !worker.startedAnew {
		s.ruleChecker.addViolation(s.now, "started_again", "%s#%d starts on %s once more", command.Task, command.Attempt, worker.name)
	}
	if worker.startedAttempts == nil {
		worker.startedAttempts = map[string]bool{}
	}
	worker.startedAttempts[attempt] = true
}

// restartWorker ends a worker's process with its tasks, and starts it again after a pause. It goes on with the next
// incarnation.
func (f fault) restartWorker(worker *simulatedWorker) {
	f.restartWorkerAs(worker, func() { worker.incarnation++ })
}

// restartWorkerAnew is restartWorker for a worker that has lost all state: it begins again with incarnation 1, sequence
// number 1 and no fencing token.
func (f fault) restartWorkerAnew(worker *simulatedWorker) {
	f.restartWorkerAs(worker, func() {
		worker.incarnation, worker.sequence, worker.fencingToken, worker.startedAnew = 1, 0, 0, true
	})
}

func (f fault) restartWorkerAs(worker *simulatedWorker, reset func()) {
	s := f.simulation
	s.killTasks(worker)
	worker.up = false
	// A response to a heartbeat of the ended process is dropped.
	worker.heartbeatGeneration++
	worker.heartbeatInFlight = false
	s.at(f.endAt(2), func() {
		if worker.gone {
			return
		}
		reset()
		worker.up, worker.leaseRenewedAt, worker.nextHeartbeat = true, s.now, s.now
		worker.deferredMessages = nil
		s.deliverCopies(worker)
	})
}

// copyCommands delivers late copies of executed direct commands for the duration in the first argument.
func (f fault) copyCommands() {
	f.simulation.copiedCommandsUntil = max(f.simulation.copiedCommandsUntil, f.endAt(1))
}

// resumeAfterHang delivers copies to a worker when it resumes.
func (s *simulation) resumeAfterHang(worker *simulatedWorker, duration time.Duration) {
	s.after(duration+time.Millisecond, func() { s.deliverCopies(worker) })
}

// writeCommandCopies adds, in half of the scripts, late copies of direct commands, direct commands that are held up, and
// workers that are restarted within a second. It uses its own random source, so that the rest of a seed's script does not
// change.
func writeCommandCopies(text *strings.Builder, seed uint64, faultTimes []float64) {
	random := rand.New(rand.NewPCG(seed, 9))
	if random.IntN(2) > 0 {
		return
	}
	if random.IntN(2) == 0 {
		fmt.Fprintln(text, "immediate_responses")
	}
	for _, faultTime := range faultTimes {
		near := func() float64 { return max(0.5, faultTime-3+6*random.Float64()) }
		fmt.Fprintf(text, "%.1f copied_commands %.1f\n", near(), 5+40*random.Float64())
		switch random.IntN(4) {
		case 0, 1:
			fmt.Fprintf(text, "%.1f restart_worker %d %.1f\n", near(), random.IntN(8), 0.1+0.8*random.Float64())
		case 2:
			fmt.Fprintf(text, "%.1f hold_commands %d %.1f\n", near(), random.IntN(8), 1+12*random.Float64())
		}
	}
}
