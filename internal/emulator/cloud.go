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

// MachineSpec is a machine that a cloud brings up.
type MachineSpec struct {
	Name string
	Type wire.MachineType
	Zone string
	Spot bool
}

// Machine is a machine that is up, with a worker on it.
type Machine interface {
	// Addr is where its worker takes direct commands.
	Addr() string
	// State is the state that the cloud lists.
	State() string
	// Stop ends the machine: it was given back.
	Stop()
}

// Launch brings a machine up.
type Launch func(MachineSpec) Machine

// Cloud rents machines. Each type has a capacity, and a machine is up after its type's boot time. Its list
// does not lag.
type Cloud struct {
	clientServers
	mu            sync.Mutex
	types         []wire.MachineType
	capacity      map[string]int // by type; a type that is not there has no bound
	bootsTakeTime bool
	launch        Launch
	machines      map[string]*instance
	responses     map[string]wire.MachineNames
	created       int
	closed        bool
	partitioned   map[string]bool // clients that get no answer

	limiter *rate.Limiter // nil: no limit
}

// instance is a machine that was rented. It has no worker until it is up.
type instance struct {
	spec      MachineSpec
	rentedAt  time.Time
	machine   Machine
	bootTimer *time.Timer
}

// NewCloud starts a cloud on loopback, with an address for a client without a name. Its machines are up at
// once.
func NewCloud(types []wire.MachineType, launch Launch) *Cloud {
	c := &Cloud{types: types, capacity: map[string]int{}, launch: launch,
		machines: map[string]*instance{}, responses: map[string]wire.MachineNames{}, partitioned: map[string]bool{}}
	c.clientServers.serve(c.serve)
	return c
}

// EnableBootTimes has machines take their type's boot time to come up from now on.
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

// SetCapacity bounds the machines of a type that can be rented at a time.
func (c *Cloud) SetCapacity(machineType string, most int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.capacity[machineType] = most
}

// SetPartitioned cuts a client off: what it asks for is lost until that ends.
func (c *Cloud) SetPartitioned(client string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitioned[client] = cut
}

func (c *Cloud) isPartitioned(client string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.partitioned[client]
}

// AddRunning brings machines up that were rented before.
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

// end stops a boot and gives the machine, if it is up.
func (r *instance) end() Machine {
	if r.bootTimer != nil {
		r.bootTimer.Stop()
	}
	return r.machine
}

func (c *Cloud) typeOf(name string) *wire.MachineType {
	for i := range c.types {
		if c.types[i].Name == name {
			return &c.types[i]
		}
	}
	return nil
}

func (c *Cloud) add(t wire.MachineType, zone string, spot bool) *instance {
	c.created++
	r := &instance{spec: MachineSpec{Name: fmt.Sprintf("host-%06d", c.created), Type: t, Zone: zone, Spot: spot}, rentedAt: time.Now()}
	c.machines[r.spec.Name] = r
	return r
}

func (c *Cloud) bringUp(r *instance) { r.machine = c.launch(r.spec) }

// boot brings a machine up after its boot time.
func (c *Cloud) boot(r *instance) {
	if !c.bootsTakeTime {
		c.bringUp(r)
		return
	}
	r.bootTimer = time.AfterFunc(config.Seconds(r.spec.Type.BootS), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.closed && c.machines[r.spec.Name] == r {
			c.bringUp(r)
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
		q := r.URL.Query()
		limit, _ := strconv.Atoi(q.Get("limit"))
		respond(w, http.StatusOK, c.list(q.Get("after"), limit))
	case "POST /rentals":
		var q wire.ScaleOutRequest
		if json.NewDecoder(r.Body).Decode(&q) != nil || c.typeOf(q.Type) == nil || q.Count < 1 || q.Count > wire.MaxScaleOut {
			respond(w, http.StatusBadRequest, nil)
			return
		}
		c.scaleOut(w, q)
	case "POST /rentals/release":
		var n wire.MachineNames
		if json.NewDecoder(r.Body).Decode(&n) != nil || len(n.Machines) > wire.MaxScaleIn {
			respond(w, http.StatusBadRequest, nil)
			return
		}
		c.scaleIn(n.Machines)
		respond(w, http.StatusOK, struct{}{})
	default:
		respond(w, http.StatusBadRequest, nil)
	}
}

// list gives a page of the machines, by name.
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

// free is how many more machines of a type can be rented.
func (c *Cloud) free(machineType string) int {
	most, bounded := c.capacity[machineType]
	if !bounded {
		return wire.MaxScaleOut
	}
	for _, r := range c.machines {
		if r.spec.Type.Name == machineType && (r.machine == nil || r.machine.State() != wire.MachineFailed) {
			most--
		}
	}
	return most
}

func (c *Cloud) scaleOut(w http.ResponseWriter, q wire.ScaleOutRequest) {
	if a, ok := c.responses[q.RequestID]; ok {
		respond(w, http.StatusOK, a)
		return
	}
	count := min(q.Count, c.free(q.Type))
	if count <= 0 {
		respond(w, http.StatusServiceUnavailable, wire.ErrorBody{Error: "no capacity"})
		return
	}
	var a wire.MachineNames
	for range count {
		r := c.add(*c.typeOf(q.Type), q.Zone, q.Spot)
		c.boot(r)
		a.Machines = append(a.Machines, r.spec.Name)
	}
	c.responses[q.RequestID] = a
	respond(w, http.StatusOK, a)
}

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
