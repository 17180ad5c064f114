package simworker

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"bitternwing/internal/wire"
)

// Times that the protocol sets for workers.
const (
	responseTimeout      = 4 * time.Second        // a worker without a heartbeat response fails over to another controller
	failoverDelay        = time.Second            // from the failover to the heartbeat to the other controller
	minHeartbeatInterval = 500 * time.Millisecond // between heartbeats that are sent because of changed tasks
	failedListingDelay   = 30 * time.Second       // until a dead machine is listed as failed rather than running
)

// dialTimeout limits the time to connect to a controller.
const dialTimeout = time.Second

// Worker runs a Machine with a clock and a network: it sends heartbeats to one controller at a time, executes direct
// commands, and expires the machine's lease.
type Worker struct {
	fleet       *Fleet
	random      *rand.Rand
	http        *http.Client
	address     net.IP
	stop        context.CancelFunc
	wake        chan struct{}
	byteCounter Counter
	// copiedStarts counts the attempts that late copies of direct commands have started.
	copiedStarts atomic.Int64

	mu              sync.Mutex
	machine         *Machine
	unreachable     bool // all messages to and from the worker are lost
	dead            bool
	diedAt          time.Duration
	leaseRenewedAt  time.Duration // when the last heartbeat with an accepted response was sent
	nextHeartbeatAt time.Duration
	lastSentAt      time.Duration
	inFlight        bool     // a heartbeat is waiting for its response
	controllerIndex int      // index of the controller that receives the heartbeats
	copiedBodies    [][]byte // direct commands of which late copies arrive, see commandCopies
	held            heldCommands
	generation      int    // of the process; responses to heartbeats of earlier ones are dropped
	lastController  string // name of the controller whose response was accepted last
}

func newWorker(fleet *Fleet, info MachineInfo, index int, stop context.CancelFunc) *Worker {
	w := &Worker{
		fleet:   fleet,
		address: addressOf(index),
		stop:    stop,
		wake:    make(chan struct{}, 1),
		random:  rand.New(rand.NewPCG(fleet.config.Seed, uint64(index))),
	}
	w.machine = NewMachine(info, net.JoinHostPort(w.address.String(), fleet.port), fleet.config.Jobs, fleet.config.Observer)
	w.controllerIndex = w.random.IntN(len(fleet.config.Controllers))
	now := fleet.now()
	w.leaseRenewedAt, w.nextHeartbeatAt, w.lastSentAt = now, now+w.heartbeatInterval(), now
	w.http = w.newHTTPClient()
	return w
}

// newHTTPClient returns a client that connects from the worker's address and counts the bytes.
func (w *Worker) newHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: w.address}}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countedConn{connection, &w.byteCounter}, nil
	}
	transport := &http.Transport{MaxConnsPerHost: 1, MaxIdleConns: 1, DisableCompression: true, DialContext: dial}
	return &http.Client{Timeout: responseTimeout, Transport: transport}
}

// run runs the worker until the context is cancelled.
func (w *Worker) run(ctx context.Context) {
	results := make(chan heartbeatResult, 1)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			w.http.CloseIdleConnections()
			return
		case result := <-results:
			w.handleResult(result)
		case <-w.wake:
		case <-timer.C:
		}
		timer.Reset(w.runDue(ctx, results))
	}
}

// runDue expires the lease and sends a heartbeat if they are due. It returns the time until something is due again.
func (w *Worker) runDue(ctx context.Context, results chan<- heartbeatResult) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.fleet.now()
	lease := w.fleet.config.LeaseDuration
	w.machine.Advance(now)
	if now-w.leaseRenewedAt > lease {
		w.machine.ExpireLease()
		w.leaseRenewedAt = now
		go w.sendCopies()
	}
	due := w.nextHeartbeatAt
	if w.machine.Changed() {
		due = min(due, max(now, w.lastSentAt+minHeartbeatInterval))
	}
	if !w.inFlight && now >= due {
		w.sendHeartbeat(ctx, now, results)
	}
	if w.inFlight {
		due = Never
	}
	next := min(due, w.machine.NextEventAt(), w.leaseRenewedAt+lease+time.Millisecond)
	return max(time.Millisecond, next-now)
}

// wakeUp has the worker call runDue now.
func (w *Worker) wakeUp() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Running returns how many tasks of a job run on the worker.
func (w *Worker) Running(job string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.machine.Advance(w.fleet.now())
	return w.machine.Running(job)
}

// serves reports whether a task runs on the worker and the worker is reachable.
func (w *Worker) serves(task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.machine.Advance(w.fleet.now())
	return !w.dead && !w.unreachable && w.machine.RunsTask(task)
}

// SetUnreachable begins or ends a fault in which all messages to and from the worker are lost.
func (w *Worker) SetUnreachable(unreachable bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unreachable = unreachable
}

// Kill stops the machine with all its tasks, without notice.
func (w *Worker) Kill() {
	w.mu.Lock()
	w.dead, w.diedAt = true, w.fleet.now()
	w.machine.KillAll()
	w.mu.Unlock()
	w.stop()
}

// SetFailing begins or ends a fault in which all tasks that start on the machine fail.
func (w *Worker) SetFailing(failing bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.machine.failing = failing
}

// SetRefusing begins or ends a fault in which the worker refuses all starts.
func (w *Worker) SetRefusing(refusing bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.machine.refusing = refusing
}

// restartPause is how long a worker's process is away when it is restarted.
const restartPause = 500 * time.Millisecond

// Restart ends the worker's process with its tasks, and starts it again after restartPause. It goes on with the next
// incarnation, or begins anew if its state is lost.
func (w *Worker) Restart(stateLost bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead {
		return
	}
	w.machine.KillAll()
	w.unreachable = true
	w.generation++
	time.AfterFunc(restartPause, func() { w.resumeAfterRestart(stateLost) })
}

// resumeAfterRestart starts the worker's process again.
func (w *Worker) resumeAfterRestart(stateLost bool) {
	w.mu.Lock()
	if w.dead {
		w.mu.Unlock()
		return
	}
	w.machine.Restart(stateLost)
	w.unreachable, w.inFlight, w.leaseRenewedAt = false, false, w.fleet.now()
	w.generation++
	w.mu.Unlock()
	w.sendCopies()
	w.wakeUp()
}

// State returns the state in the cloud's list of machines.
func (w *Worker) State() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead && w.fleet.now() > w.diedAt+failedListingDelay {
		return wire.MachineFailed
	}
	return wire.MachineRunning
}

// Stop stops the worker after its machine was scaled in.
func (w *Worker) Stop() {
	w.Kill()
	w.fleet.remove(w)
}

// Addr returns the address for direct commands.
func (w *Worker) Addr() string { return w.machine.address }

// Name returns the machine's name.
func (w *Worker) Name() string { return w.machine.info.Name }

// Zone returns the machine's zone.
func (w *Worker) Zone() string { return w.machine.info.Zone }

// Bytes returns how many bytes the worker has received and sent through its sockets.
func (w *Worker) Bytes() int64 { return w.byteCounter.Total() }
