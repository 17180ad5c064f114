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
	answerPatience = 4 * time.Second        // no answer to a report for so long: it tries another controller
	nextPause      = time.Second            // before that
	leastInterval  = 500 * time.Millisecond // between reports of changes
	deadListed     = 30 * time.Second       // a machine that has died is still listed as running for so long
)

// Worker runs a machine on the clock and on the network: it reports to one controller at a time, takes
// direct commands, and keeps its lease.
type Worker struct {
	fleet *Fleet
	rnd   *rand.Rand
	http  *http.Client
	ip    net.IP
	stop  context.CancelFunc
	wake  chan struct{}
	count Counter

	mu       sync.Mutex
	machine  *Machine
	silent   bool // it reaches nobody, and nobody reaches it
	dead     bool
	diedAt   time.Duration
	renewed  time.Duration // when the report was sent that was answered last
	reportAt time.Duration
	sentAt   time.Duration
	busy     bool   // a report is in flight
	tried    int    // the controller that it reports to
	followed string // the controller whose answer it took last
}

// reportResult is what became of a report.
type reportResult struct {
	sent    time.Duration
	session uint64
	status  int // 0: no answer
	answer  wire.HeartbeatResponse
	leader  string
}

func newWorker(f *Fleet, about Description, index int, stop context.CancelFunc) *Worker {
	w := &Worker{fleet: f, ip: addressOf(index), stop: stop, wake: make(chan struct{}, 1),
		rnd: rand.New(rand.NewPCG(f.config.Seed, uint64(index)))}
	w.machine = NewMachine(about, net.JoinHostPort(w.ip.String(), f.port), f.config.Jobs, f.config.Observer)
	w.tried = w.rnd.IntN(len(f.config.Controllers))
	now := f.now()
	w.renewed, w.reportAt, w.sentAt = now, now+w.interval(), now
	dialer := &net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: w.ip}}
	w.http = &http.Client{Timeout: answerPatience, Transport: &http.Transport{
		MaxConnsPerHost: 1, MaxIdleConns: 1, DisableCompression: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return countedConn{c, &w.count}, nil
		},
	}}
	return w
}

// interval is the time to the next regular report: that of the settings, give or take a quarter.
func (w *Worker) interval() time.Duration {
	report := w.fleet.config.Report
	return report*3/4 + time.Duration(w.rnd.Int64N(int64(report/2)))
}

// run lives until the context ends.
func (w *Worker) run(ctx context.Context) {
	results := make(chan reportResult, 1)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			w.http.CloseIdleConnections()
			return
		case r := <-results:
			w.take(r)
		case <-w.wake:
		case <-timer.C:
		}
		timer.Reset(w.proceed(ctx, results))
	}
}

// proceed does what is due and gives the time to what comes next.
func (w *Worker) proceed(ctx context.Context, results chan<- reportResult) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.fleet.now()
	w.machine.Advance(now)
	if now-w.renewed > w.fleet.config.Lease {
		w.machine.Expire()
		w.renewed = now
	}
	due := w.reportAt
	if w.machine.Changed() {
		due = min(due, max(now, w.sentAt+leastInterval))
	}
	if !w.busy && now >= due {
		w.send(ctx, now, results)
		due = Never
	}
	if w.busy {
		due = Never
	}
	next := min(due, w.machine.Next(), w.renewed+w.fleet.config.Lease+time.Millisecond)
	return max(time.Millisecond, next-now)
}

// send reports in the background.
func (w *Worker) send(ctx context.Context, now time.Duration, results chan<- reportResult) {
	w.busy = true
	w.sentAt = now
	controller := w.fleet.config.Controllers[w.tried]
	report := w.machine.Report(now)
	cut := w.silent || w.fleet.separated(report.Zone, controller.Zone)
	go func() {
		r := reportResult{sent: now, session: report.Incarnation}
		if cut {
			// Nothing that it sends arrives, and nothing comes back.
			select {
			case <-ctx.Done():
			case <-time.After(answerPatience):
			}
		} else {
			w.exchange(ctx, controller, report, &r)
		}
		results <- r
	}()
}

// exchange sends a report and reads the answer.
func (w *Worker) exchange(ctx context.Context, to Controller, report *wire.Heartbeat, r *reportResult) {
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
	w.fleet.config.Traffic.Count(to.Name, KindReport, len(body), len(data))
	switch resp.StatusCode {
	case http.StatusOK:
		if json.Unmarshal(data, &r.answer) != nil {
			return
		}
	case http.StatusMisdirectedRequest:
		var to wire.Redirect
		_ = json.Unmarshal(data, &to) // without a body it names nobody
		r.leader = to.Leader
	}
	r.status = resp.StatusCode
}

// take takes in what became of a report.
func (w *Worker) take(r reportResult) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.busy = false
	now := w.fleet.now()
	w.reportAt = now + w.interval()
	switch {
	case w.dead:
	case r.status == http.StatusOK && !w.silent:
		if w.machine.Answered(now, r.session, r.answer) {
			w.renewed = r.sent
			w.followed = w.fleet.config.Controllers[w.tried].Name
		}
	case r.status == http.StatusMisdirectedRequest && w.redirect(r.leader):
		w.http.CloseIdleConnections()
		w.reportAt = now + time.Duration(w.rnd.Int64N(int64(leastInterval)))
		w.sentAt = 0 // a change need not wait for the interval either
	default:
		w.tried = (w.tried + 1) % len(w.fleet.config.Controllers)
		w.http.CloseIdleConnections()
		w.reportAt = now + nextPause
		w.sentAt = now + nextPause - leastInterval
	}
}

// redirect turns to the controller that another one has named; false if that is no other one.
func (w *Worker) redirect(leader string) bool {
	for i, c := range w.fleet.config.Controllers {
		if c.Name == leader && i != w.tried {
			w.tried = i
			return true
		}
	}
	return false
}

// serve answers direct commands and questions.
func (w *Worker) serve(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, wire.MaxBody+1))
	if err != nil || w.unreachable() {
		<-r.Context().Done() // nothing comes back
		return
	}
	if r.Method+" "+r.URL.Path == http.MethodPost+" "+wire.PrefetchPath {
		w.prefetch(rw, body)
		return
	}
	var status int
	var kind Kind
	switch r.Method + " " + r.URL.Path {
	case http.MethodGet + " " + wire.StatusPath:
		kind, status = KindInspect, http.StatusOK
	case http.MethodPost + " " + wire.CommandsPath:
		kind, status = KindOrders, w.ordered(body)
	default:
		status = http.StatusNotFound
	}
	var answer []byte
	if status == http.StatusOK || status == http.StatusConflict {
		w.mu.Lock()
		answer, _ = json.Marshal(w.machine.Report(w.fleet.now())) // plain values: it can't fail
		w.mu.Unlock()
	}
	w.fleet.config.Traffic.Count(AnyController, kind, len(answer), len(body))
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(answer) // a caller that has gone away learns nothing
	w.signal()
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

// ordered carries out direct commands and gives the status of the answer.
func (w *Worker) ordered(body []byte) int {
	var o wire.DirectCommands
	if json.Unmarshal(body, &o) != nil || o.Incarnation == 0 {
		return http.StatusBadRequest
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.machine.Ordered(w.fleet.now(), o) {
		return http.StatusConflict
	}
	return http.StatusOK
}

// unreachable tells whether direct commands don't get through. Who sends them can't be told here: in a
// zone that is cut off, none do.
func (w *Worker) unreachable() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dead || w.silent || w.fleet.isCut(w.machine.about.Zone)
}

// signal has the worker look at what is due.
func (w *Worker) signal() {
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
	return !w.dead && !w.silent && w.machine.RunsTask(task)
}

// SetSilent has the worker reach nobody and nobody reach it, or ends that.
func (w *Worker) SetSilent(silent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = silent
}

// Die ends the machine and all that is on it, without a word to anybody.
func (w *Worker) Die() {
	w.mu.Lock()
	w.dead, w.diedAt = true, w.fleet.now()
	w.machine.Clear()
	w.mu.Unlock()
	w.stop()
}

// State is what the cloud lists for the machine.
func (w *Worker) State() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead && w.fleet.now() > w.diedAt+deadListed {
		return wire.MachineFailed
	}
	return wire.MachineRunning
}

// Stop ends the worker: its machine is given back.
func (w *Worker) Stop() {
	w.Die()
	w.fleet.forget(w)
}

// Addr is where the worker takes direct commands.
func (w *Worker) Addr() string { return w.machine.addr }

// Name is the machine's name.
func (w *Worker) Name() string { return w.machine.about.Name }

// Zone is the machine's zone.
func (w *Worker) Zone() string { return w.machine.about.Zone }

// Bytes is what has passed through the worker's sockets, both ways.
func (w *Worker) Bytes() int64 { return w.count.Total() }
