package simworker

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"bitternwing/internal/wire"
)

// The protocol's times of a worker.
const (
	responseTimeout      = 4 * time.Second        // no answer to a report for so long: it tries another controller
	failoverDelay        = time.Second            // before that
	minHeartbeatInterval = 500 * time.Millisecond // between reports of changes
	failedListingDelay   = 30 * time.Second       // a machine that has died is still listed as running for so long
)

// Worker runs a machine on the clock and on the network: it reports to one controller at a time, takes
// direct commands, and keeps its lease.
type Worker struct {
	fleet   *Fleet
	random  *rand.Rand
	http    *http.Client
	address net.IP
	stop    context.CancelFunc
	wake    chan struct{}
	bytes   Counter

	mu              sync.Mutex
	machine         *Machine
	isolated        bool // it reaches nobody, and nobody reaches it
	dead            bool
	diedAt          time.Duration
	leaseRenewedAt  time.Duration // when the report was sent that was answered last
	nextHeartbeatAt time.Duration
	lastSentAt      time.Duration
	inFlight        bool   // a report is in flight
	controllerIndex int    // the controller that it reports to
	lastController  string // the controller whose answer it took last
}

// heartbeatResult is what became of a report.
type heartbeatResult struct {
	sentAt      time.Duration
	incarnation uint64
	status      int // 0: no answer
	response    wire.HeartbeatResponse
	leader      string
}

func newWorker(f *Fleet, about MachineInfo, index int, stop context.CancelFunc) *Worker {
	w := &Worker{fleet: f, address: addressOf(index), stop: stop, wake: make(chan struct{}, 1),
		random: rand.New(rand.NewPCG(f.config.Seed, uint64(index)))}
	w.machine = NewMachine(about, net.JoinHostPort(w.address.String(), f.port), f.config.Jobs, f.config.Observer)
	w.controllerIndex = w.random.IntN(len(f.config.Controllers))
	now := f.now()
	w.leaseRenewedAt, w.nextHeartbeatAt, w.lastSentAt = now, now+w.heartbeatInterval(), now
	dialer := &net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: w.address}}
	w.http = &http.Client{Timeout: responseTimeout, Transport: &http.Transport{
		MaxConnsPerHost: 1, MaxIdleConns: 1, DisableCompression: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return countedConn{c, &w.bytes}, nil
		},
	}}
	return w
}

// heartbeatInterval is the time to the next regular report: that of the settings, give or take a quarter.
func (w *Worker) heartbeatInterval() time.Duration {
	report := w.fleet.config.HeartbeatInterval
	return report*3/4 + time.Duration(w.random.Int64N(int64(report/2)))
}

// run lives until the context ends.
func (w *Worker) run(ctx context.Context) {
	results := make(chan heartbeatResult, 1)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			w.http.CloseIdleConnections()
			return
		case r := <-results:
			w.handleResult(r)
		case <-w.wake:
		case <-timer.C:
		}
		timer.Reset(w.runDue(ctx, results))
	}
}

// runDue does what is due and gives the time to what comes next.
func (w *Worker) runDue(ctx context.Context, results chan<- heartbeatResult) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.fleet.now()
	w.machine.Advance(now)
	if now-w.leaseRenewedAt > w.fleet.config.LeaseDuration {
		w.machine.ExpireLease()
		w.leaseRenewedAt = now
	}
	due := w.nextHeartbeatAt
	if w.machine.Changed() {
		due = min(due, max(now, w.lastSentAt+minHeartbeatInterval))
	}
	if !w.inFlight && now >= due {
		w.sendHeartbeat(ctx, now, results)
		due = Never
	}
	if w.inFlight {
		due = Never
	}
	next := min(due, w.machine.NextEventAt(), w.leaseRenewedAt+w.fleet.config.LeaseDuration+time.Millisecond)
	return max(time.Millisecond, next-now)
}

// sendHeartbeat reports in the background.
func (w *Worker) sendHeartbeat(ctx context.Context, now time.Duration, results chan<- heartbeatResult) {
	w.inFlight = true
	w.lastSentAt = now
	controller := w.fleet.config.Controllers[w.controllerIndex]
	report := w.machine.Heartbeat(now)
	cut := w.isolated || w.fleet.separated(report.Zone, controller.Zone)
	go func() {
		r := heartbeatResult{sentAt: now, incarnation: report.Incarnation}
		if cut {
			// Nothing that it sends arrives, and nothing comes back.
			select {
			case <-ctx.Done():
			case <-time.After(responseTimeout):
			}
		} else {
			w.exchange(ctx, controller, report, &r)
		}
		results <- r
	}()
}

// exchange sends a report and reads the answer.
func (w *Worker) exchange(ctx context.Context, to Controller, report *wire.Heartbeat, r *heartbeatResult) {
	body, err := json.Marshal(report)
	if err != nil {
		return
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.Addr+wire.HeartbeatPath, bytes.NewReader(body))
	if err != nil {
		return
	}
	resp, err := w.http.Do(req)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return
	}
	w.fleet.config.Traffic.Count(to.Name, KindHeartbeat, len(body), len(data))
	switch resp.StatusCode {
	case http.StatusOK:
		if json.Unmarshal(data, &r.response) != nil {
			return
		}
	case http.StatusMisdirectedRequest:
		var to wire.Redirect
		_ = json.Unmarshal(data, &to) // without a body it names nobody
		r.leader = to.Leader
	}
	r.status = resp.StatusCode
}

// handleResult takes in what became of a report.
func (w *Worker) handleResult(r heartbeatResult) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight = false
	now := w.fleet.now()
	w.nextHeartbeatAt = now + w.heartbeatInterval()
	switch {
	case w.dead:
	case r.status == http.StatusOK && !w.isolated:
		if w.machine.ApplyHeartbeatResponse(now, r.incarnation, r.response) {
			w.leaseRenewedAt = r.sentAt
			w.lastController = w.fleet.config.Controllers[w.controllerIndex].Name
		}
	case r.status == http.StatusMisdirectedRequest && w.redirect(r.leader):
		w.http.CloseIdleConnections()
		w.nextHeartbeatAt = now + time.Duration(w.random.Int64N(int64(minHeartbeatInterval)))
		w.lastSentAt = 0 // a change need not wait for the interval either
	default:
		w.controllerIndex = (w.controllerIndex + 1) % len(w.fleet.config.Controllers)
		w.http.CloseIdleConnections()
		w.nextHeartbeatAt = now + failoverDelay
		w.lastSentAt = now + failoverDelay - minHeartbeatInterval
	}
}

// redirect turns to the controller that another one has named; false if that is no other one.
func (w *Worker) redirect(leader string) bool {
	for i, c := range w.fleet.config.Controllers {
		if c.Name == leader && i != w.controllerIndex {
			w.controllerIndex = i
			return true
		}
	}
	return false
}

// serve answers direct commands and questions.
func (w *Worker) serve(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, wire.MaxBody+1))
	if err != nil || w.dropsCommands() {
		<-r.Context().Done() // nothing comes back
		return
	}
	if r.Method+" "+r.URL.Path == http.MethodPost+" "+wire.PrefetchPath {
		w.prefetch(rw, body)
		return
	}
	var status int
	var kind MessageKind
	switch r.Method + " " + r.URL.Path {
	case http.MethodGet + " " + wire.StatusPath:
		kind, status = KindStatusQuery, http.StatusOK
	case http.MethodPost + " " + wire.CommandsPath:
		kind, status = KindCommands, w.executeCommands(body)
	default:
		status = http.StatusNotFound
	}
	var answer []byte
	if status == http.StatusOK || status == http.StatusConflict {
		w.mu.Lock()
		answer, _ = json.Marshal(w.machine.Heartbeat(w.fleet.now())) // plain values: it can't fail
		w.mu.Unlock()
	}
	w.fleet.config.Traffic.Count(AnyController, kind, len(answer), len(body))
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(answer) // a caller that has gone away learns nothing
	w.wakeUp()
}

// prefetch begins to fetch an image ahead of need.
func (w *Worker) prefetch(rw http.ResponseWriter, body []byte) {
	var q wire.PrefetchRequest
	if json.Unmarshal(body, &q) != nil || q.Image == "" || q.GB < 0 {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	now := w.fleet.now()
	ready := w.machine.Prefetch(now, q.Image, q.GB) - now
	w.mu.Unlock()
	answer, _ := json.Marshal(wire.PrefetchResponse{ReadyS: ready.Seconds()}) // plain values: it can't fail
	w.fleet.config.Traffic.Count(AnyController, KindPrefetch, len(answer), len(body))
	rw.Header().Set("Content-Type", "application/json")
	_, _ = rw.Write(answer) // a caller that has gone away learns nothing
}

// executeCommands carries out direct commands and gives the status of the answer.
func (w *Worker) executeCommands(body []byte) int {
	var o wire.DirectCommands
	if json.Unmarshal(body, &o) != nil || o.Incarnation == 0 {
		return http.StatusBadRequest
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.machine.ApplyDirectCommands(w.fleet.now(), o) {
		return http.StatusConflict
	}
	return http.StatusOK
}

// dropsCommands tells whether direct commands don't get through. Who sends them can't be told here: in a
// zone that is cut off, none do.
func (w *Worker) dropsCommands() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dead || w.isolated || w.fleet.isPartitioned(w.machine.info.Zone)
}

// wakeUp has the worker look at what is due.
func (w *Worker) wakeUp() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Running counts the tasks of a job that run here.
func (w *Worker) Running(job string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.machine.Advance(w.fleet.now())
	return w.machine.Running(job)
}

// serves tells whether a task runs here and the machine can be reached.
func (w *Worker) serves(task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.machine.Advance(w.fleet.now())
	return !w.dead && !w.isolated && w.machine.RunsTask(task)
}

// SetUnreachable has the worker reach nobody and nobody reach it, or ends that.
func (w *Worker) SetUnreachable(silent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isolated = silent
}

// Die ends the machine and all that is on it, without a word to anybody.
func (w *Worker) Die() {
	w.mu.Lock()
	w.dead, w.diedAt = true, w.fleet.now()
	w.machine.KillAll()
	w.mu.Unlock()
	w.stop()
}

// State is what the cloud lists for the machine.
func (w *Worker) State() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead && w.fleet.now() > w.diedAt+failedListingDelay {
		return wire.MachineFailed
	}
	return wire.MachineRunning
}

// Stop ends the worker: its machine is given back.
func (w *Worker) Stop() {
	w.Die()
	w.fleet.remove(w)
}

// Addr is where the worker takes direct commands.
func (w *Worker) Addr() string { return w.machine.address }

// Name is the machine's name.
func (w *Worker) Name() string { return w.machine.info.Name }

// Zone is the machine's zone.
func (w *Worker) Zone() string { return w.machine.info.Zone }

// Bytes is what has passed through the worker's sockets, both ways.
func (w *Worker) Bytes() int64 { return w.bytes.Total() }
