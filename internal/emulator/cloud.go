package emulator

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
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
	mu            sync.Mutex
	types         []wire.MachineType
	capacity      map[string]int // by type; a type that is not in it has no bound
	bootsTakeTime bool
	launch        Launch
	machines      map[string]*instance
	responses     map[string]wire.MachineNames
	created       int
	closed        bool
	partitioned   map[string]bool // clients that get no response

	limiter *rate.Limiter // nil: no limit
}

// instance is a machine of the cloud. It has no worker until it runs.
type instance struct {
	spec      MachineSpec
	rentedAt  time.Time
	machine   Machine
	bootTimer *time.Timer
}

// NewCloud makes a cloud on loopback, without clients. Its machines run at once.
func NewCloud(types []wire.MachineType, launch Launch) *Cloud {
	c := &Cloud{types: types, capacity: map[string]int{}, launch: launch,
		machines: map[string]*instance{}, responses: map[string]wire.MachineNames{}, partitioned: map[string]bool{}}
	c.handle = c.serve
	return c
}

// EnableBootTimes has machines take their type's boot time to start from now on.
func (c *Cloud) EnableBootTimes() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bootsTakeTime = true
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
	t := c.typeOf(machineType)
	for range count {
		c.bringUp(c.add(*t, zone, false))
	}
}

// Close ends the cloud and its machines.
func (c *Cloud) Close() {
	c.mu.Lock()
	c.closed = true
	var ended []Machine
	for _, r := range c.machines {
		if m := r.end(); m != nil {
			ended = append(ended, m)
		}
	}
	c.mu.Unlock()
	for _, m := range ended {
		m.Stop()
	}
	c.close()
}

// end stops a boot and gives the machine, if it runs.
func (r *instance) end() Machine {
	if r.bootTimer != nil {
		r.bootTimer.Stop()
	}
	return r.machine
}

// typeOf gives a machine type; nil if there is none of the name.
func (c *Cloud) typeOf(name string) *wire.MachineType {
	for i := range c.types {
		if c.types[i].Name == name {
			return &c.types[i]
		}
	}
	return nil
}

// add adds a machine that does not run yet.
func (c *Cloud) add(machineType wire.MachineType, zone string, spot bool) *instance {
	c.created++
	r := &instance{spec: MachineSpec{Name: fmt.Sprintf("host-%06d", c.created), Type: machineType, Zone: zone, Spot: spot}, rentedAt: time.Now()}
	c.machines[r.spec.Name] = r
	return r
}

func (c *Cloud) bringUp(machine *instance) { machine.machine = c.launch(machine.spec) }

// boot starts a machine after its boot time.
func (c *Cloud) boot(machine *instance) {
	if !c.bootsTakeTime {
		c.bringUp(machine)
		return
	}
	machine.bootTimer = time.AfterFunc(config.Seconds(machine.spec.Type.BootS), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.closed && c.machines[machine.spec.Name] == machine {
			c.bringUp(machine)
		}
	})
}

func (c *Cloud) serve(client string, w http.ResponseWriter, r *http.Request) {
	if c.isPartitioned(client) {
		<-r.Context().Done() // nothing comes back
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limiter != nil && !c.limiter.Allow() {
		respond(w, http.StatusTooManyRequests, nil)
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /catalog":
		respond(w, http.StatusOK, wire.Catalog{Types: c.types})
	case "GET /rentals":
		query := r.URL.Query()
		limit, _ := strconv.Atoi(query.Get("limit"))
		respond(w, http.StatusOK, c.list(query.Get("after"), limit))
	case "POST /rentals":
		var request wire.ScaleOutRequest
		if json.NewDecoder(r.Body).Decode(&request) != nil || !c.valid(request) {
			respond(w, http.StatusBadRequest, nil)
			return
		}
		c.scaleOut(w, request)
	case "POST /rentals/release":
		var names wire.MachineNames
		if json.NewDecoder(r.Body).Decode(&names) != nil || len(names.Machines) > wire.MaxScaleIn {
			respond(w, http.StatusBadRequest, nil)
			return
		}
		c.scaleIn(names.Machines)
		respond(w, http.StatusOK, struct{}{})
	default:
		respond(w, http.StatusBadRequest, nil)
	}
}

// valid tells whether a scale-out can be tried.
func (c *Cloud) valid(request wire.ScaleOutRequest) bool {
	return c.typeOf(request.Type) != nil && request.Count >= 1 && request.Count <= wire.MaxScaleOut
}

// list gives a page of the machines, in order of their names.
func (c *Cloud) list(after string, limit int) wire.MachineList {
	if limit <= 0 || limit > wire.MaxList {
		limit = wire.MaxList
	}
	var rest []*instance
	for name, r := range c.machines {
		if name > after {
			rest = append(rest, r)
		}
	}
	slices.SortFunc(rest, func(a, b *instance) int { return cmp.Compare(a.spec.Name, b.spec.Name) })
	page := wire.MachineList{Machines: []wire.Machine{}, More: len(rest) > limit}
	for _, r := range rest[:min(limit, len(rest))] {
		page.Machines = append(page.Machines, r.listed())
	}
	return page
}

func (r *instance) listed() wire.Machine {
	m := wire.Machine{Name: r.spec.Name, Type: r.spec.Type.Name, Zone: r.spec.Zone, Spot: r.spec.Spot,
		State: wire.MachineBooting, AgeS: time.Since(r.rentedAt).Seconds()}
	if r.machine != nil {
		m.Addr, m.State = r.machine.Addr(), r.machine.State()
	}
	return m
}

// free is how many more machines of a type can be created.
func (c *Cloud) free(machineType string) int {
	free, bounded := c.capacity[machineType]
	if !bounded {
		return wire.MaxScaleOut
	}
	for _, r := range c.machines {
		if r.spec.Type.Name == machineType && (r.machine == nil || r.machine.State() != wire.MachineFailed) {
			free--
		}
	}
	return free
}

// scaleOut creates machines, once for each request id.
func (c *Cloud) scaleOut(w http.ResponseWriter, request wire.ScaleOutRequest) {
	if names, ok := c.responses[request.RequestID]; ok {
		respond(w, http.StatusOK, names)
		return
	}
	count := min(request.Count, c.free(request.Type))
	if count <= 0 {
		respond(w, http.StatusServiceUnavailable, wire.ErrorBody{Error: "no capacity"})
		return
	}
	var names wire.MachineNames
	for range count {
		machine := c.add(*c.typeOf(request.Type), request.Zone, request.Spot)
		c.boot(machine)
		names.Machines = append(names.Machines, machine.spec.Name)
	}
	c.responses[request.RequestID] = names
	respond(w, http.StatusOK, names)
}

// scaleIn ends machines; names of others are ignored.
func (c *Cloud) scaleIn(names []string) {
	for _, name := range names {
		r := c.machines[name]
		if r == nil {
			continue
		}
		delete(c.machines, name)
		if m := r.end(); m != nil {
			m.Stop()
		}
	}
}
