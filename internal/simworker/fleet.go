// Package simworker simulates workers of the protocol, thousands in one process: each has its own address,
// connection, lease and session, holds tasks, fetches and runs them on a clock, and computes nothing.
//
// Left out of the protocol's worker: images that are fetched at the same time do not share the rate, take
// exactly as long as their size says, and are never dropped from the cache; machines do not differ in
// speed, tasks do not fail, and there are no spot notices; a checkpoint keeps no progress, a task that
// starts anew begins anew, unless it had completed before. A silent worker loses what is sent to it
// instead of receiving it late. Direct commands to a zone that is cut off do not arrive, whoever sends them.
package simworker

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"bitternwing/internal/emulator"
)

// MessageKind is a kind of message.
type MessageKind string

// The kinds of messages that workers see.
const (
	KindHeartbeat   MessageKind = "report"
	KindCommands    MessageKind = "orders"
	KindStatusQuery MessageKind = "inspect"
	// KindPrefetch is no part of the protocol.
	KindPrefetch MessageKind = "prefetch"
)

// AnyController stands for a controller that can't be told.
const AnyController = ""

// Traffic counts messages. Sizes are those of the bodies, seen from the controller.
type Traffic interface {
	Count(controller string, kind MessageKind, received, sent int)
}

// Controller is a controller that workers may report to.
type Controller struct {
	Name, Zone, Addr string
}

// Config is what workers need to know.
type Config struct {
	Seed              uint64
	HeartbeatInterval time.Duration // interval of reports
	LeaseDuration     time.Duration
	Controllers       []Controller
	Jobs              Jobs
	Observer          Observer
	Traffic           Traffic
}

// Fleet is all hollow workers of a process. They share one listening socket, on which each has a loopback
// address of its own.
type Fleet struct {
	config    Config
	startedAt time.Time
	ctx       context.Context
	cancel    context.CancelFunc
	listener  net.Listener
	port      string
	server    *http.Server
	running   sync.WaitGroup

	mu               sync.Mutex
	launched         int
	workers          map[string]*Worker // by name
	byIP             map[string]*Worker
	everLaunched     []*Worker         // ever launched
	zoneByMachine    map[string]string // of all of them, by name
	partitionedZones map[string]bool
}

// workerKey is the key of the worker that a connection goes to, in a request's context.
type workerKey struct{}

// NewFleet makes a fleet without workers.
func NewFleet(config Config) (*Fleet, error) {
	// The socket takes the connections to all loopback addresses, and to no others: it is bound to the
	// loopback interface.
	listener, err := ListenLoopback()
	if err != nil {
		return nil, fmt.Errorf("workers' address: %w", err)
	}
	_, port, err := net.SplitHostPort(listener.Addr().String())
	if err != nil {
		return nil, err
	}
	f := &Fleet{config: config, startedAt: time.Now(), listener: listener, port: port,
		workers: map[string]*Worker{}, byIP: map[string]*Worker{}, zoneByMachine: map[string]string{}, partitionedZones: map[string]bool{}}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.server = &http.Server{Handler: http.HandlerFunc(serve), ReadHeaderTimeout: responseTimeout,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			if counted, ok := c.(workerConn); ok {
				return context.WithValue(ctx, workerKey{}, counted.worker)
			}
			return ctx
		}}
	go func() { _ = f.server.Serve(&workerListener{listener, f}) }() // ends with Close
	return f, nil
}

// ListenLoopback listens at a free port of all loopback addresses, and of no others.
func ListenLoopback() (net.Listener, error) {
	lc := net.ListenConfig{Control: bindToLoopback}
	return lc.Listen(context.Background(), "tcp4", "0.0.0.0:0")
}

// bindToLoopback binds a socket to the loopback interface.
func bindToLoopback(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) { failed = unix.BindToDevice(int(fd), "lo") })
	if err != nil {
		return err
	}
	return failed
}

// workerConn is a connection to a worker.
type workerConn struct {
	countedConn
	worker *Worker
}

// workerListener finds the worker that a connection goes to.
type workerListener struct {
	net.Listener
	fleet *Fleet
}

// Accept gives the next connection to a worker; others are closed.
func (l *workerListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		ip, _, _ := net.SplitHostPort(c.LocalAddr().String())
		if w := l.fleet.workerAt(ip); w != nil {
			return workerConn{countedConn{c, &w.bytes}, w}, nil
		}
		_ = c.Close()
	}
}

func serve(rw http.ResponseWriter, r *http.Request) {
	if w, ok := r.Context().Value(workerKey{}).(*Worker); ok {
		w.serve(rw, r)
	}
}

// now is the fleet's steady clock.
func (f *Fleet) now() time.Duration { return time.Since(f.startedAt) }

// The loopback addresses of workers begin at 127.16.0.1, and a third byte has so many of them.
const (
	firstSecondByte     = 16
	workersPerThirdByte = 250
)

// addressOf gives the address of the worker with a number, counted from 0.
func addressOf(index int) net.IP {
	third := index / workersPerThirdByte
	return net.IPv4(127, byte(firstSecondByte+third/256), byte(third%256), byte(1+index%workersPerThirdByte))
}

// Launch starts a worker; the cloud calls it when a machine is up.
func (f *Fleet) Launch(about MachineInfo) *Worker {
	ctx, stop := context.WithCancel(f.ctx)
	f.mu.Lock()
	w := newWorker(f, about, f.launched, stop)
	f.launched++
	f.workers[about.Name] = w
	f.everLaunched = append(f.everLaunched, w)
	f.zoneByMachine[about.Name] = about.Zone
	f.byIP[w.address.String()] = w
	f.mu.Unlock()
	f.running.Add(1)
	go func() {
		defer f.running.Done()
		w.run(ctx)
	}()
	return w
}

// LaunchMachine starts a worker for a machine of a cloud.
func (f *Fleet) LaunchMachine(m emulator.MachineSpec) emulator.Machine {
	return f.Launch(MachineInfo{Name: m.Name, Zone: m.Zone, Spot: m.Spot, Type: m.Type})
}

func (f *Fleet) workerAt(ip string) *Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byIP[ip]
}

func (f *Fleet) remove(w *Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.workers, w.machine.info.Name)
	delete(f.byIP, w.address.String())
}

// Workers gives the workers that are there, in no order.
func (f *Fleet) Workers() []*Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]*Worker, 0, len(f.workers))
	for _, w := range f.workers {
		all = append(all, w)
	}
	return all
}

// Running counts the tasks of a job that run on all machines.
func (f *Fleet) Running(job string) int {
	n := 0
	for _, w := range f.Workers() {
		n += w.Running(job)
	}
	return n
}

// Serves tells whether a task runs on the worker with an address, and the worker can be reached.
func (f *Fleet) Serves(host, task string) bool {
	w := f.workerAt(host)
	return w != nil && w.serves(task)
}

// ZoneOf gives the zone of a worker, also of one that is no more; "" if there never was one of the name.
func (f *Fleet) ZoneOf(machine string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.zoneByMachine[machine]
}

// Fetches gives how many fetches all workers have made, those that are no more included, and how long they take together.
func (f *Fleet) Fetches() (count int64, took time.Duration) {
	f.mu.Lock()
	all := append([]*Worker{}, f.everLaunched...)
	f.mu.Unlock()
	for _, w := range all {
		w.mu.Lock()
		count += w.machine.fetches
		took += w.machine.fetchTime
		w.mu.Unlock()
	}
	return count, took
}

// WorkersByController counts the workers by the controller whose answer they took last.
func (f *Fleet) WorkersByController() map[string]int {
	counts := map[string]int{}
	for _, w := range f.Workers() {
		w.mu.Lock()
		if w.lastController != "" && !w.dead {
			counts[w.lastController]++
		}
		w.mu.Unlock()
	}
	return counts
}

// SetZonePartitioned cuts a zone's workers off from the controllers of other zones, or ends that.
func (f *Fleet) SetZonePartitioned(zone string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partitionedZones[zone] = cut
}

func (f *Fleet) isPartitioned(zone string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.partitionedZones[zone]
}

// separated tells whether a cut lies between two zones.
func (f *Fleet) separated(a, b string) bool {
	return a != b && (f.isPartitioned(a) || f.isPartitioned(b))
}

// Close ends all workers.
func (f *Fleet) Close() {
	f.cancel()
	_ = f.server.Close()
	f.running.Wait()
}
