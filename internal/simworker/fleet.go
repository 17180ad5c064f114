package simworker

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"bitternwing/internal/emulator"
)

// MessageKind is a kind of message.
type MessageKind string

// The kinds of messages that workers exchange.
const (
	KindHeartbeat   MessageKind = "report"
	KindCommands    MessageKind = "orders"
	KindStatusQuery MessageKind = "inspect"
	// KindPrefetch is no part of the protocol.
	KindPrefetch MessageKind = "prefetch"
)

// AnyController stands for a controller that is not known.
const AnyController = ""

// Traffic counts messages. Sizes are those of the bodies, seen from the controller.
type Traffic interface {
	Count(controller string, kind MessageKind, received, sent int)
}

// Controller is a controller that workers may send heartbeats to.
type Controller struct {
	Name, Zone, Addr string
}

// Config is the configuration of a fleet.
type Config struct {
	Seed              uint64
	HeartbeatInterval time.Duration
	LeaseDuration     time.Duration
	Controllers       []Controller
	Jobs              Jobs
	Observer          Observer
	Traffic           Traffic
}

// Fleet is all simulated workers of a process. They share one listening socket, on which each has a loopback
// address of its own.
type Fleet struct {
	config      Config
	startedAt   time.Time
	ctx         context.Context
	cancel      context.CancelFunc
	listener    net.Listener
	port        string
	server      *http.Server
	workerLoops sync.WaitGroup

	mu               sync.Mutex
	launchCount      int
	workersByName    map[string]*Worker // by name
	workersByAddress map[string]*Worker
	launchedWorkers  []*Worker
	zoneByMachine    map[string]string // of all that were ever launched
	partitionedZones map[string]bool
}

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
		return nil, fmt.Errorf("workers' address: %w", err)
	}
	f := &Fleet{
		config:           config,
		startedAt:        time.Now(),
		listener:         listener,
		port:             port,
		workersByName:    map[string]*Worker{},
		workersByAddress: map[string]*Worker{},
		zoneByMachine:    map[string]string{},
		partitionedZones: map[string]bool{},
	}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.server = &http.Server{Handler: http.HandlerFunc(serve), ReadHeaderTimeout: responseTimeout, ConnContext: withWorker}
	go func() { _ = f.server.Serve(&workerListener{listener, f}) }() // ends with Close
	return f, nil
}

// now is the fleet's steady clock.
func (f *Fleet) now() time.Duration { return time.Since(f.startedAt) }

// Launch starts a worker; the cloud calls it when a machine is up.
func (f *Fleet) Launch(info MachineInfo) *Worker {
	ctx, stop := context.WithCancel(f.ctx)
	f.mu.Lock()
	w := newWorker(f, info, f.launchCount, stop)
	f.launchCount++
	f.workersByName[info.Name] = w
	f.launchedWorkers = append(f.launchedWorkers, w)
	f.zoneByMachine[info.Name] = info.Zone
	f.workersByAddress[w.address.String()] = w
	f.mu.Unlock()
	f.workerLoops.Add(1)
	go func() {
		defer f.workerLoops.Done()
		w.run(ctx)
	}()
	return w
}

// LaunchMachine starts a worker for a machine of a cloud.
func (f *Fleet) LaunchMachine(spec emulator.MachineSpec) emulator.Machine {
	return f.Launch(MachineInfo{Name: spec.Name, Zone: spec.Zone, Spot: spec.Spot, Type: spec.Type})
}

// workerAt gives the worker at an address; nil if there is none.
func (f *Fleet) workerAt(host string) *Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workersByAddress[host]
}

// remove takes a worker off the list whose machine was returned.
func (f *Fleet) remove(worker *Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.workersByName, worker.machine.info.Name)
	delete(f.workersByAddress, worker.address.String())
}

// Workers gives the present workers, in no order.
func (f *Fleet) Workers() []*Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]*Worker, 0, len(f.workersByName))
	for _, w := range f.workersByName {
		all = append(all, w)
	}
	return all
}

// Running counts the tasks of a job that run on all machines.
func (f *Fleet) Running(job string) int {
	count := 0
	for _, w := range f.Workers() {
		count += w.Running(job)
	}
	return count
}

// Serves tells whether a task runs on the worker with an address, and the worker can be reached.
func (f *Fleet) Serves(host, task string) bool {
	w := f.workerAt(host)
	return w != nil && w.serves(task)
}

// ZoneOf gives the zone of a machine, also of a former one; "" if there never was one of the name.
func (f *Fleet) ZoneOf(machine string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.zoneByMachine[machine]
}

// Fetches gives how many images all workers have fetched, former ones included, and how long it took together.
func (f *Fleet) Fetches() (count int64, took time.Duration) {
	f.mu.Lock()
	all := append([]*Worker{}, f.launchedWorkers...)
	f.mu.Unlock()
	for _, w := range all {
		w.mu.Lock()
		count += w.machine.fetches
		took += w.machine.fetchTime
		w.mu.Unlock()
	}
	return count, took
}

// WorkersByController counts the workers by the controller whose response they accepted last.
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

// SetZonePartitioned begins or ends a partition between a zone's workers and the controllers of other zones.
func (f *Fleet) SetZonePartitioned(zone string, partitioned bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partitionedZones[zone] = partitioned
}

func (f *Fleet) isPartitioned(zone string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.partitionedZones[zone]
}

// partitioned tells whether a partition lies between two zones.
func (f *Fleet) partitioned(a, b string) bool {
	return a != b && (f.isPartitioned(a) || f.isPartitioned(b))
}

// Close ends all workers.
func (f *Fleet) Close() {
	f.cancel()
	_ = f.server.Close()
	f.workerLoops.Wait()
}
