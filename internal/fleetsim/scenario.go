package fleetsim

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"os"
	"slices"

	"bitternwing/internal/fleetsim/load"
	"bitternwing/internal/fleetsim/rolling"
	"bitternwing/internal/schema"
)

// Scenario describes a simulation: the fleet, its load and the faults.
type Scenario struct {
	Name        string          `json:"name"`
	Seed        uint64          `json:"seed"`
	DurationS   float64         `json:"duration_s"`
	WarmUpS     float64         `json:"warm_up_s"` // until the first jobs are submitted; means exclude this time
	Controllers Controllers     `json:"controllers"`
	Zones       []string        `json:"zones"`
	Machines    []MachineGroup  `json:"machines"`
	Teams       Teams           `json:"teams"`
	Workers     WorkerTimes     `json:"workers"`
	Store       StoreLimits     `json:"state"`
	Cloud       CloudLimits     `json:"cloud"`
	StartsPerS  float64         `json:"starts_per_s"`
	Classes     []load.Class    `json:"classes"`
	Faults      []Fault         `json:"faults"`
	Rollouts    []rolling.Model `json:"rollouts"`
	Operator    json.RawMessage `json:"operator"`
	Sweep       *Sweep          `json:"sweep,omitempty"`
}

// Controllers describes the controller processes and their limits.
type Controllers struct {
	Count          int     `json:"count"`
	Cores          float64 `json:"cores"`
	MemoryMB       float64 `json:"memory_mb"`
	MaxConnections int     `json:"max_connections"`
	RestartS       float64 `json:"restart_s"`
}

// MachineGroup describes machines of one type, which are spread evenly over all zones.
type MachineGroup struct {
	Type        string  `json:"type"`
	Count       int     `json:"count"`
	GPUs        float64 `json:"gpus"`
	CPUs        float64 `json:"cpus"`
	MemoryGB    float64 `json:"memory_gb"`
	CacheGB     float64 `json:"cache_gb"`
	FetchGBPerS float64 `json:"fetch_gb_per_s"`
	BootS       float64 `json:"boot_s"`
}

// Teams describes teams with equal quotas, which are shares of the fleet's GPUs and CPUs.
type Teams struct {
	Count           int     `json:"count"`
	GuaranteedShare float64 `json:"guaranteed_share"`
	LimitShare      float64 `json:"limit_share"`
}

// WorkerTimes holds the intervals and timeouts of the workers' protocol.
type WorkerTimes struct {
	HeartbeatIntervalS float64 `json:"report_s"`
	LeaseS             float64 `json:"lease_s"`
	CancelS            float64 `json:"cancel_s"`
}

// StoreLimits holds the limits of the key-value store.
type StoreLimits struct {
	RPS      float64 `json:"rps"`
	WriteRPS float64 `json:"write_rps"`
	ValueKB  float64 `json:"value_kb"`
	TxnOps   int     `json:"txn_ops"`
}

// CloudLimits holds the limits of the cloud.
type CloudLimits struct {
	RPS      float64 `json:"rps"`
	ListLagS float64 `json:"list_lag_s"`
}

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of faults.
const (
	KillLeader      FaultKind = "kill_leader"
	KillControllers FaultKind = "kill_controllers"
	KillWorkers     FaultKind = "workers_die"
	KillWorstZone   FaultKind = "worst_zone_lost"
	RackUnreachable FaultKind = "rack_silent"
	// RackUnlisted: the cloud's list lacks the machines.
	RackUnlisted FaultKind = "rack_unlisted"
	// ReleasesRefused: the cloud refuses to release machines.
	ReleasesRefused FaultKind = "releases_refused"
	// RestartWorkers: the workers' processes end, and are back in their next incarnations within a second.
	RestartWorkers FaultKind = "workers_restart"
	// RestartWorkersAnew: the same, but the workers have lost their state and begin with their first incarnations.
	RestartWorkersAnew FaultKind = "workers_restart_anew"
	// FailTasks: tasks that start on the machines fail.
	FailTasks FaultKind = "tasks_fail"
	// RefuseStarts: the workers refuse all starts.
	RefuseStarts FaultKind = "starts_refused"
	// HoldCommands: direct commands to the workers are held up, and arrive at the worst time.
	HoldCommands FaultKind = "commands_held"
	// CopyCommands: late copies of direct commands that were executed and answered arrive at all workers.
	CopyCommands    FaultKind = "commands_copied"
	ZonePartitioned FaultKind = "zone_cut"
	StoreDown       FaultKind = "state_down"
)

// Fault is a fault to inject. It begins AtS after the start and lasts for ForS, if its kind has an end. Count is the
// number of workers that it hits.
type Fault struct {
	AtS   float64   `json:"at_s"`
	Kind  FaultKind `json:"kind"`
	Count int       `json:"count,omitempty"`
	Zone  string    `json:"zone,omitempty"`
	ForS  float64   `json:"for_s,omitempty"`
}

//go:embed scenario.schema.json
var scenarioSchema []byte

// ScenarioSchema returns the JSON schema of scenarios.
func ScenarioSchema() []byte { return scenarioSchema }

// LoadScenario reads and validates a scenario.
func LoadScenario(path string) (*Scenario, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	s, err := ParseScenario(data)
	if err != nil {
		return nil, fmt.Errorf("scenario %s: %w", path, err)
	}
	return s, nil
}

// ParseScenario decodes and validates a scenario.
func ParseScenario(data []byte) (*Scenario, error) {
	if err := schema.Validate("scenario.schema.json", scenarioSchema, data); err != nil {
		return nil, err
	}
	s := &Scenario{}
	if err := json.Unmarshal(data, s); err != nil {
		return nil, err
	}
	if err := s.checkFaults(); err != nil {
		return nil, err
	}
	return s, s.checkRollouts()
}

// checkRollouts checks what the schema can't express: rollouts have unique names, begin before the end of the
// simulation, and promise at most the capacity of the old version.
func (s *Scenario) checkRollouts() error {
	names := map[string]bool{}
	for i, m := range s.Rollouts {
		switch {
		case names[m.Name]:
			return fmt.Errorf("/rollouts/%d/name: already used by another rollout", i)
		case m.AtS >= s.DurationS:
			return fmt.Errorf("/rollouts/%d/at_s: %g is not before the end of the simulation at %g", i, m.AtS, s.DurationS)
		case m.Promised > m.ReplicaCapacity*float64(m.Jobs*m.Replicas):
			return fmt.Errorf("/rollouts/%d/promised_capacity: exceeds the capacity of the old version", i)
		}
		names[m.Name] = true
	}
	return nil
}

// checkFaults checks what the schema can't express: faults begin before the end of the simulation and name existing
// zones, and the loss of a zone leaves another one with machines.
func (s *Scenario) checkFaults() error {
	for i, f := range s.Faults {
		if f.AtS >= s.DurationS {
			return fmt.Errorf("/faults/%d/at_s: %g is not before the end of the simulation at %g", i, f.AtS, s.DurationS)
		}
		if f.Kind == KillWorstZone && (len(s.Zones) < 2 || s.workerCount() < 2) {
			return fmt.Errorf("/faults/%d/kind: %s requires at least two zones and two machines", i, f.Kind)
		}
		if f.Kind == ZonePartitioned && !slices.Contains(s.Zones, f.Zone) {
			return fmt.Errorf("/faults/%d/zone: unknown zone %q", i, f.Zone)
		}
	}
	return nil
}

// workerCount returns the number of machines in all groups.
func (s *Scenario) workerCount() int {
	count := 0
	for _, group := range s.Machines {
		count += group.Count
	}
	return count
}

// Scale returns a copy of the scenario with a share of its machines, teams, initial jobs and starts per second. The
// quota shares of the remaining teams grow accordingly. The controllers stay the same.
func (s *Scenario) Scale(share float64) *Scenario {
	scaled := *s
	scaled.Name = fmt.Sprintf("%s x %g", s.Name, share)
	scaled.Machines = slices.Clone(s.Machines)
	for i := range scaled.Machines {
		scaled.Machines[i].Count = max(1, int(share*float64(s.Machines[i].Count)))
	}
	scaled.Classes = slices.Clone(s.Classes)
	for i := range scaled.Classes {
		scaled.Classes[i].InitialJobs = int(share * float64(s.Classes[i].InitialJobs))
	}
	scaled.Teams.Count = max(1, int(share*float64(s.Teams.Count)))
	scaled.Teams.GuaranteedShare = min(1, s.Teams.GuaranteedShare/share)
	scaled.Teams.LimitShare = min(1, s.Teams.LimitShare/share)
	scaled.StartsPerS = share * s.StartsPerS
	return &scaled
}
