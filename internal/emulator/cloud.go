package emulator

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"bitternwing/internal/config"
	"bitternwing/internal/wire"
)

// MachineSpec describes a machine that the cloud starts.
type MachineSpec struct {
	Name string
	Type wire.MachineType
	Zone string
	Spot bool
}

// Machine is a running machine with a worker on it.
type Machine interface {
	// Addr returns the worker's address for direct commands.
	Addr() string
	// State returns the machine's state in the cloud's list.
	State() string
	// Stop terminates the machine after a scale-in.
	Stop()
}

// Launch starts the worker of a machine that has booted.
type Launch func(MachineSpec) Machine

// Cloud emulates a cloud over HTTP, with a capacity and a boot time for each machine type. Its list does not lag.
type Cloud struct {
	clientServers
	mu               sync.Mutex
	types            []wire.MachineType
	capacity         map[string]int // machines by type; a missing type is unbounded
	bootTimesEnabled bool
	launch           Launch
	machines         map[string]*instance
	namesByRequest   map[string]wire.MachineNames // names of machines by scale-out request ID
	created          int
	closed           bool
	partitioned      map[string]bool // clients whose requests are lost
	unlisted         map[string]bool // names of machines that the list lacks
	releasesRefused  bool

	limiter *rate.Limiter // nil: no limit
}

// instance is a machine of the cloud. Its worker starts when it has booted.
type instance struct {
	spec      MachineSpec
	createdAt time.Time
	machine   Machine
	bootTimer *time.Timer
}

// NewCloud returns a cloud on loopback without clients. Its machines boot at once unless EnableBootTimes is called.
func NewCloud(types []wire.MachineType, launch Launch) *Cloud {
	c := &Cloud{types: types, capacity: map[string]int{}, launch: launch,
		machines: map[string]*instance{}, namesByRequest: map[string]wire.MachineNames{}, partitioned: map[string]bool{},
		unlisted: map[string]bool{}}
	c.handle = c.serve
	return c
}

// EnableBootTimes has machines that are scaled out from now on take the boot time of their type.
func (c *Cloud) EnableBootTimes() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bootTimesEnabled = true
}

// SetRateLimit limits the requests per second of all clients, with bursts of two seconds' worth.
func (c *Cloud) SetRateLimit(requests float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limiter = rate.NewLimiter(rate.Limit(requests), max(1, int(2*requests)))
}

// SetCapacity limits the number of machines of a type.
func (c *Cloud) SetCapacity(typeName string, machines int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.capacity[typeName] = machines
}

// SetUnlisted begins or ends a fault in which the list lacks a machine.
func (c *Cloud) SetUnlisted(machine string, unlisted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unlisted[machine] = unlisted
}

// SetReleasesRefused begins or ends a fault in which the cloud refuses to release machines.
func (c *Cloud) SetReleasesRefused(refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releasesRefused = refused
}

// SetPartitioned begins or ends a partition of a client, whose requests are lost while it lasts.
func (c *Cloud) SetPartitioned(client string, partitioned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitioned[client] = partitioned
}

func (c *Cloud) isPartitioned(client string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.partitioned[client]
}

// AddRunning adds machines that already run, without a scale-out.
func (c *Cloud) AddRunning(typeName, zone string, count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	machineType := c.machineType(typeName)
	for range count {
		c.startWorker(c.createInstance(*machineType, zone, false))
	}
}

// Close stops the cloud's servers and machines.
func (c *Cloud) Close() {
	c.mu.Lock()
	c.closed = true
	var toStop []Machine
	for _, machine := range c.machines {
		if running := machine.terminate(); running != nil {
			toStop = append(toStop, running)
		}
	}
	c.mu.Unlock()
	for _, machine := range toStop {
		machine.Stop()
	}
	c.close()
}

// terminate cancels the boot and returns the running machine; nil if it has not booted.
func (i *instance) terminate() Machine {
	if i.bootTimer != nil {
		i.bootTimer.Stop()
	}
	return i.machine
}

// machineType returns the machine type with a name, or nil.
func (c *Cloud) machineType(name string) *wire.MachineType {
	for i := range c.types {
		if c.types[i].Name == name {
			return &c.types[i]
		}
	}
	return nil
}

// createInstance adds a machine that has not booted.
func (c *Cloud) createInstance(machineType wire.MachineType, zone string, spot bool) *instance {
	c.created++
	name := fmt.Sprintf("host-%06d", c.created)
	i := &instance{spec: MachineSpec{Name: name, Type: machineType, Zone: zone, Spot: spot}, createdAt: time.Now()}
	c.machines[name] = i
	return i
}

// startWorker starts the worker of a machine that has booted.
func (c *Cloud) startWorker(i *instance) { i.machine = c.launch(i.spec) }

// boot starts the worker of a machine after the boot time.
func (c *Cloud) boot(i *instance) {
	if !c.bootTimesEnabled {
		c.startWorker(i)
		return
	}
	i.bootTimer = time.AfterFunc(config.Seconds(i.spec.Type.BootS), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.closed && c.machines[i.spec.Name] == i {
			c.startWorker(i)
		}
	})
}

// list returns a page of the machines in order of name.
func (c *Cloud) list(after string, limit int) wire.MachineList {
	if limit <= 0 || limit > wire.MaxPageMachines {
		limit = wire.MaxPageMachines
	}
	var remaining []*instance
	for name, machine := range c.machines {
		if name > after && !c.unlisted[name] {
			remaining = append(remaining, machine)
		}
	}
	slices.SortFunc(remaining, func(a, b *instance) int { return cmp.Compare(a.spec.Name, b.spec.Name) })
	page := wire.MachineList{Machines: []wire.Machine{}, More: len(remaining) > limit}
	for _, machine := range remaining[:min(limit, len(remaining))] {
		page.Machines = append(page.Machines, machine.listEntry())
	}
	return page
}

// listEntry returns the machine's entry in the cloud's list.
func (i *instance) listEntry() wire.Machine {
	entry := wire.Machine{
		Name:  i.spec.Name,
		Type:  i.spec.Type.Name,
		Zone:  i.spec.Zone,
		Spot:  i.spec.Spot,
		State: wire.MachineBooting,
		AgeS:  time.Since(i.createdAt).Seconds(),
	}
	if i.machine != nil {
		entry.Addr, entry.State = i.machine.Addr(), i.machine.State()
	}
	return entry
}

// failed reports whether the machine has failed. Failed machines use no capacity.
func (i *instance) failed() bool { return i.machine != nil && i.machine.State() == wire.MachineFailed }

// freeCapacity returns how many more machines of a type can be created.
func (c *Cloud) freeCapacity(typeName string) int {
	free, bounded := c.capacity[typeName]
	if !bounded {
		return wire.MaxScaleOut
	}
	for _, machine := range c.machines {
		if machine.spec.Type.Name == typeName && !machine.failed() {
			free--
		}
	}
	return free
}

// scaleIn terminates machines. Unknown names are ignored.
func (c *Cloud) scaleIn(names []string) {
	for _, name := range names {
		machine := c.machines[name]
		if machine == nil {
			continue
		}
		delete(c.machines, name)
		if running := machine.terminate(); running != nil {
			running.Stop()
		}
	}
}
