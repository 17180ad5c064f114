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

// MachineSpec describes a machine that a cloud starts.
type MachineSpec struct {
	Name string
	Type wire.MachineType
	Zone string
	Spot bool
}

// Machine is a machine that is up, with a worker on it.
type Machine interface {
	// Addr is the address of its worker for direct commands.
	Addr() string
	// State is the state in the cloud's list.
	State() string
	// Stop ends the machine: it was returned.
	Stop()
}

// Launch starts a machine.
type Launch func(MachineSpec) Machine

// Cloud emulates a cloud. Each machine type has a capacity, and a machine runs after its type's boot time. Its list
// does not lag.
type Cloud struct {
	clientServers
	mu               sync.Mutex
	types            []wire.MachineType
	capacity         map[string]int // by type; a type that is not in it has no bound
	bootTimesEnabled bool
	launch           Launch
	machines         map[string]*instance
	namesByRequest   map[string]wire.MachineNames
	created          int
	closed           bool
	partitioned      map[string]bool // clients that get no response

	limiter *rate.Limiter // nil: no limit
}

// instance is a machine of the cloud. It has no worker until it runs.
type instance struct {
	spec      MachineSpec
	createdAt time.Time
	machine   Machine
	bootTimer *time.Timer
}

// NewCloud makes a cloud on loopback, without clients. Its machines run at once.
func NewCloud(types []wire.MachineType, launch Launch) *Cloud {
	c := &Cloud{types: types, capacity: map[string]int{}, launch: launch,
		machines: map[string]*instance{}, namesByRequest: map[string]wire.MachineNames{}, partitioned: map[string]bool{}}
	c.handle = c.serve
	return c
}

// EnableBootTimes has machines take their type's boot time to start from now on.
func (c *Cloud) EnableBootTimes() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bootTimesEnabled = true
}

// SetRateLimit bounds the requests a second, with bursts worth two seconds.
func (c *Cloud) SetRateLimit(requests float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limiter = rate.NewLimiter(rate.Limit(requests), max(1, int(2*requests)))
}

// SetCapacity bounds the machines of a type.
func (c *Cloud) SetCapacity(machineType string, machines int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.capacity[machineType] = machines
}

// SetPartitioned begins or ends a partition of a client: its requests are lost while it lasts.
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

// AddRunning adds running machines, as if they had been requested before.
func (c *Cloud) AddRunning(machineType, zone string, count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	spec := c.machineType(machineType)
	for range count {
		c.startWorker(c.createInstance(*spec, zone, false))
	}
}

// Close ends the cloud and its machines.
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

// terminate stops a boot and gives the machine, if it runs.
func (i *instance) terminate() Machine {
	if i.bootTimer != nil {
		i.bootTimer.Stop()
	}
	return i.machine
}

// machineType gives a machine type; nil if there is none of the name.
func (c *Cloud) machineType(name string) *wire.MachineType {
	for i := range c.types {
		if c.types[i].Name == name {
			return &c.types[i]
		}
	}
	return nil
}

// createInstance adds a machine that does not run yet.
func (c *Cloud) createInstance(machineType wire.MachineType, zone string, spot bool) *instance {
	c.created++
	name := fmt.Sprintf("host-%06d", c.created)
	created := &instance{spec: MachineSpec{Name: name, Type: machineType, Zone: zone, Spot: spot}, createdAt: time.Now()}
	c.machines[name] = created
	return created
}

// startWorker starts the worker of a machine.
func (c *Cloud) startWorker(i *instance) { i.machine = c.launch(i.spec) }

// boot starts a machine after its boot time.
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

// list gives a page of the machines, in order of their names.
func (c *Cloud) list(after string, limit int) wire.MachineList {
	if limit <= 0 || limit > wire.MaxList {
		limit = wire.MaxList
	}
	var remaining []*instance
	for name, machine := range c.machines {
		if name > after {
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

// listEntry gives the machine as the cloud lists it.
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

// failed tells whether the machine has failed: it no longer takes capacity.
func (i *instance) failed() bool { return i.machine != nil && i.machine.State() == wire.MachineFailed }

// freeCapacity is how many more machines of a type can be created.
func (c *Cloud) freeCapacity(machineType string) int {
	free, bounded := c.capacity[machineType]
	if !bounded {
		return wire.MaxScaleOut
	}
	for _, instance := range c.machines {
		if instance.spec.Type.Name == machineType && !instance.failed() {
			free--
		}
	}
	return free
}

// scaleIn ends machines; names of others are ignored.
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
