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

// MessageKind is the kind of a message between a worker and a controller.
type MessageKind string

// Kinds of messages.
const (
	KindHeartbeat   MessageKind = "report"
	KindCommands    MessageKind = "orders"
	KindStatusQuery MessageKind = "inspect"
	// KindPrefetch is an extension of the protocol.
	KindPrefetch MessageKind = "prefetch"
)

// UnknownController is the name passed to Traffic for messages whose controller is not known.
const UnknownController = ""

// Traffic counts messages. Received and sent are the sizes of the bodies that the controller receives and sends.
type Traffic interface {
	Count(controller string, kind MessageKind, received, sent int)
}

// Controller is a controller that workers can send heartbeats to.
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

// Fleet is a set of simulated workers. They share one listening socket, and each has its own loopback address.
type Fleet struct {
	config      Config
	startedAt   time.Time
	ctx         context.Context
	cancel      context.CancelFunc
	listener    net.Listener
	port        string
	server      *http.Server
	copies      commandCopies
	copyClient  *http.Client
	workerLoops sync.WaitGroup

	mu               sync.Mutex
	launchCount      int
	workersByName    map[string]*Worker // by machine name
	workersByAddress map[string]*Worker
	launchedWorkers  []*Worker
	zoneByMachine    map[string]string // includes removed machines
	partitionedZones map[string]bool
}

// NewFleet returns a fleet without workers.
func NewFleet(config Config) (*Fleet, error) {
	// The socket accepts connections to all loopback addresses and to no others: it is bound to the loopback interface.
	listener, err := ListenLoopback()
	if err != nil {
		return nil, fmt.Errorf("listen for workers: %w", err)
	}
	_, port, err := net.SplitHostPort(listener.Addr().String())
	if err != nil {
		return nil, fmt.Errorf("parse listen address of workers: %w", err)
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
		copyClient:       &http.Client{Timeout: responseTimeout},
	}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.server = &http.Server{Handler: http.HandlerFunc(serve), ReadHeaderTimeout: responseTimeout, ConnContext: withWorker}
	go func() { _ = f.server.Serve(&workerListener{listener, f}) }() // ends with Close
	return f, nil
}

// now returns the time on the fleet's monotonic clock.
func (f *Fleet) now() time.Duration { return time.Since(f.startedAt) }

// Launch starts a worker on a machine that has booted.
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

// LaunchMachine starts a worker on a machine of an emulated cloud. It is an emulator.Launch.
func (f *Fleet) LaunchMachine(spec emulator.MachineSpec) emulator.Machine {
	return f.Launch(MachineInfo{Name: spec.Name, Zone: spec.Zone, Spot: spec.Spot, Type: spec.Type})
}

// workerAt returns the worker at an address, or nil.
func (f *Fleet) workerAt(host string) *Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workersByAddress[host]
}

// remove removes a worker whose machine was scaled in.
func (f *Fleet) remove(worker *Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.workersByName, worker.machine.info.Name)
	delete(f.workersByAddress, worker.address.String())
}

// Workers returns the current workers in no particular order.
func (f *Fleet) Workers() []*Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]*Worker, 0, len(f.workersByName))
	for _, w := range f.workersByName {
		all = append(all, w)
	}
	return all
}

// Running returns how many tasks of a job run on all machines.
func (f *Fleet) Running(job string) int {
	count := 0
	for _, w := range f.Workers() {
		count += w.Running(job)
	}
	return count
}

// Serves reports whether a task runs on the worker at an address and the worker is reachable.
func (f *Fleet) Serves(host, task string) bool {
	w := f.workerAt(host)
	return w != nil && w.serves(task)
}

// ZoneOf returns the zone of a machine, which may have been removed; "" if there never was a machine with the name.
func (f *Fleet) ZoneOf(machine string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.zoneByMachine[machine]
}

// Fetches returns how many images all workers have fetched, including removed workers, and the sum of the fetch times.
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

// WorkersByController returns how many workers accepted their last heartbeat response from each controller.
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

// SetZonePartitioned begins or ends a partition between a zone's workers and the controllers in other zones.
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

// partitioned reports whether two zones are partitioned from each other.
func (f *Fleet) partitioned(a, b string) bool {
	return a != b && (f.isPartitioned(a) || f.isPartitioned(b))
}

// Close stops all workers and waits for them.
func (f *Fleet) Close() {
	f.cancel()
	_ = f.server.Close()
	f.workerLoops.Wait()
}
