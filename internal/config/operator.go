package config

import (
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"

	"bitternwing/internal/schema"
)

// OperatorSettings are the settings that operators may change. The schema describes each field and its bounds.
type OperatorSettings struct {
	// CycleIntervalS is the time between regular scheduling cycles.
	CycleIntervalS float64 `json:"round_s"`
	// EventDrivenCycles enables additional cycles soon after a change.
	EventDrivenCycles bool `json:"event_rounds"`
	// DirectStarts enables sending starts to workers directly, instead of in the response to their next heartbeat.
	DirectStarts bool `json:"direct_starts"`
	// CycleBudget is the share of the node's CPU time over one cycle interval that a cycle may use before it yields.
	CycleBudget float64 `json:"round_budget"`
	// PaceHeartbeats allows delaying responses to heartbeats that report no change, so that workers send fewer.
	PaceHeartbeats bool `json:"pace_reports"`
	// SpareShare is the headroom for services: the GPUs to keep free on on-demand machines, as a share of those that
	// services use.
	SpareShare float64 `json:"spare_share"`
	// IdleTimeoutBoots is how long a machine may be idle before it is released, in boot times of its type.
	IdleTimeoutBoots float64 `json:"idle_boots"`
	// BootTimeoutFactor is how long a machine may take to boot before it is released, in boot times of its type.
	BootTimeoutFactor float64 `json:"stuck_boots"`
	// UnreachableTimeoutLeases is how long a machine may go without a heartbeat before it is released, in
	// worker leases.
	UnreachableTimeoutLeases float64 `json:"silent_leases"`
	// PartitionTimeoutLeases is the same for a machine whose whole zone, including its controllers, is isolated by a
	// network partition.
	PartitionTimeoutLeases float64 `json:"cut_leases"`
	// LeaderTTLLeases is the TTL of the leader lease, in worker leases.
	LeaderTTLLeases float64 `json:"leader_ttl_leases"`
	// MaxPendingRequests is how many user requests may wait at a node before it responds with status 429.
	MaxPendingRequests int `json:"max_pending_requests"`
	// ExpectedMachines is the fleet size that the settings are checked against. 0 means the current size.
	ExpectedMachines int      `json:"expected_machines"`
	Rollouts         Rollouts `json:"rollouts"`
	Spread           Spread   `json:"spread"`
	Metrics          Metrics  `json:"metrics"`
	Regions          Regions  `json:"regions"`
}

// Metrics configures the address at which a node serves its metrics.
type Metrics struct {
	// Listen has the form host:port. If it is empty, no metrics are served.
	Listen string `json:"listen"`
	// Pprof enables profiles of the process at the same address.
	Pprof bool `json:"pprof"`
}

// Rollouts configures stepwise rollouts of a model's new version.
type Rollouts struct {
	// Enabled allows new plans. Existing plans continue in either case.
	Enabled bool `json:"enabled"`
	// ModelPort is the port of the model servers on the workers' machines.
	ModelPort int `json:"model_port"`
	// RouterLeaseS is how long a router may use a routing without renewing it.
	RouterLeaseS   float64 `json:"router_lease_s"`
	CheckIntervalS float64 `json:"check_interval_s"`
	CheckTimeoutS  float64 `json:"check_timeout_s"`
	// MaxPlans is the maximum number of stored plans, including those that have ended.
	MaxPlans int `json:"most_plans"`
	// MaxRouters is the maximum number of routers of a plan.
	MaxRouters int `json:"most_routers"`
}

// Spread configures the scoring of replica placements: the rates at which zones and machines are lost, and the expected
// lifetime of a replica's placement.
type Spread struct {
	Enabled             bool    `json:"enabled"`
	ZoneLossesPerDay    float64 `json:"zone_losses_per_day"`
	MachineLossesPerDay float64 `json:"machine_losses_per_day"`
	ReplicaLifetimeDays float64 `json:"replica_days"`
	// MovesPerHour limits how many replicas are moved to restore the balance between zones. 0 disables moves.
	MovesPerHour float64 `json:"moves_per_hour"`
	// PrefetchGBPerHour limits image prefetches. The worker protocol has no prefetch request, so this is only for
	// workers that support it. 0 disables prefetches.
	PrefetchGBPerHour float64 `json:"prefetch_gb_per_hour"`
}

// DefaultOperatorSettings returns the built-in settings.
func DefaultOperatorSettings() *OperatorSettings {
	return &OperatorSettings{
		CycleIntervalS:           5,
		EventDrivenCycles:        true,
		DirectStarts:             true,
		PaceHeartbeats:           true,
		CycleBudget:              0.25,
		SpareShare:               0.1,
		IdleTimeoutBoots:         1.5,
		BootTimeoutFactor:        3,
		UnreachableTimeoutLeases: 0.8,
		PartitionTimeoutLeases:   12,
		LeaderTTLLeases:          0.2,
		MaxPendingRequests:       256,
		Rollouts: Rollouts{ModelPort: 8000, RouterLeaseS: 15, CheckIntervalS: 2, CheckTimeoutS: 5,
			MaxPlans: 100, MaxRouters: 100},
		// Each zone is lost twice a year, and 57 of 8,800 machines are lost each day. A replica is placed again after a
		// month.
		Spread: Spread{ZoneLossesPerDay: 2.0 / 365, MachineLossesPerDay: 57.0 / 8800, ReplicaLifetimeDays: 30, MovesPerHour: 60},
	}
}

//go:embed operator.schema.json
var operatorSettingsSchema []byte

// OperatorSettingsSchema returns the published JSON schema of the operator settings.
func OperatorSettingsSchema() []byte { return operatorSettingsSchema }

// LoadOperatorSettings reads and validates a file of operator settings. Absent fields keep their defaults.
func LoadOperatorSettings(path string) (*OperatorSettings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operator settings: %w", err)
	}
	o, err := ParseOperatorSettings(data)
	if err != nil {
		return nil, fmt.Errorf("operator settings %s: %w", path, err)
	}
	return o, nil
}

// ParseOperatorSettings decodes and validates operator settings. Absent fields keep their defaults.
func ParseOperatorSettings(data []byte) (*OperatorSettings, error) {
	if err := schema.Validate("operator.schema.json", operatorSettingsSchema, data); err != nil {
		return nil, err
	}
	o := DefaultOperatorSettings()
	if err := json.Unmarshal(data, o); err != nil {
		return nil, err
	}
	return o, errors.Join(o.Metrics.validate(), o.Regions.validate())
}

// validate checks the rules that the schema can't express.
func (m *Metrics) validate() error {
	if m.Listen == "" {
		if m.Pprof {
			return errors.New("/metrics/pprof: must be false while /metrics/listen is empty, is true")
		}
		return nil
	}
	host, port, err := net.SplitHostPort(m.Listen)
	if err == nil && host != "" && host != "localhost" && net.ParseIP(host) == nil {
		err = errors.New("the host must be empty, localhost or an IP address")
	}
	if number, portErr := strconv.ParseUint(port, 10, 16); err == nil && (portErr != nil || number == 0) {
		err = errors.New("the port must be a number from 1 to 65535")
	}
	if err != nil {
		return fmt.Errorf("/metrics/listen: must be an address of the form host:port, is %q: %w", m.Listen, err)
	}
	return nil
}
