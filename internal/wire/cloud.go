package wire

// MachineType is an entry of the cloud's catalog.
type MachineType struct {
	Name        string   `json:"label"`
	CPUs        float64  `json:"vcpus"`
	GPUs        float64  `json:"gpus"`
	MemoryGB    float64  `json:"memory_gb"`
	CacheGB     float64  `json:"local_gb"`
	FetchGBPerS float64  `json:"pull_gb_per_s"`
	Price       float64  `json:"hourly"`
	SpotPrice   float64  `json:"low_price"`
	BootS       float64  `json:"boot_s"`
	Zones       []string `json:"halls"`
}

// Catalog is the response of GET /catalog.
type Catalog struct {
	Types []MachineType `json:"rigs"`
}

// ScaleOutRequest requests machines (POST /rentals). Requests with the same ID are idempotent.
type ScaleOutRequest struct {
	RequestID string `json:"hire"`
	Type      string `json:"rig"`
	Zone      string `json:"hall"`
	Spot      bool   `json:"loaner"`
	Count     int    `json:"number"`
}

// The cloud's limits: MaxScaleOut machines in a scale-out request, MaxScaleIn names in a scale-in request, and
// MaxPageMachines machines in a page of the list.
const (
	MaxScaleOut     = 50
	MaxScaleIn      = 100
	MaxPageMachines = 500
)

// MachineNames is a list of machine names: the response to a scale-out and the body of a scale-in request.
type MachineNames struct {
	Machines []string `json:"hosts"`
}

// The states of a machine in the cloud's list.
const (
	MachineBooting = "starting"
	MachineRunning = "running"
	MachineFailed  = "failed"
)

// Machine is an entry of the cloud's list.
type Machine struct {
	Name  string  `json:"ref"`
	Addr  string  `json:"addr"`
	Type  string  `json:"rig"`
	Zone  string  `json:"hall"`
	Spot  bool    `json:"loaner"`
	State string  `json:"status"`
	AgeS  float64 `json:"held_s"`
}

// MachineList is a page of the cloud's list.
type MachineList struct {
	Machines []Machine `json:"hosts"`
	More     bool      `json:"truncated"`
}
