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

// Operator is the operators' own settings.
type Operator struct {
	CycleIntervalS    float64 `json:"round_s"`
	EventDrivenCycles bool    `json:"event_rounds"`
	DirectStarts      bool    `json:"direct_starts"`
	CycleBudget       float64 `json:"round_budget"`
	// PaceHeartbeats says that responses to heartbeats without news may be held back, so that workers send fewer.
	PaceHeartbeats     bool    `json:"pace_reports"`
	SpareShare         float64 `json:"spare_share"`
	IdleBoots          float64 `json:"idle_boots"`
	StuckBoots         float64 `json:"stuck_boots"`
	UnreachableLeases  float64 `json:"silent_leases"`
	PartitionLeases    float64 `json:"cut_leases"`
	LeaderTTLLeases    float64 `json:"leader_ttl_leases"`
	MaxPendingRequests int     `json:"max_pending_requests"`
	// ExpectedMachines is the size of the fleet that the settings are checked for; 0: the present one.
	ExpectedMachines int `json:"expected_machines"`
	// Rollouts are the settings of stepwise rollouts.
	Rollouts Rollouts `json:"rollouts"`
	// Spread says by what the placements of replicas are scored.
	Spread Spread `json:"spread"`
	// Metrics says where a node serves its metrics.
	Metrics Metrics `json:"metrics"`
	// Regions are those that share the teams' quotas.
	Regions Regions `json:"regions"`
}

// Metrics says where a node serves metrics, and whether it serves profiles there.
type Metrics struct {
	Listen string `json:"listen"` // host:port; empty: nowhere
	Pprof  bool   `json:"pprof"`
}

// Rollouts are the settings of stepwise rollouts.
type Rollouts struct {
	Enabled        bool    `json:"enabled"`
	ModelPort      int     `json:"model_port"`
	RouterLeaseS   float64 `json:"router_lease_s"`
	CheckIntervalS float64 `json:"check_interval_s"`
	CheckTimeoutS  float64 `json:"check_timeout_s"`
	MaxPlans       int     `json:"most_plans"`
	MaxRouters     int     `json:"most_routers"`
}

// Spread says by what the placements of replicas are scored: the expected losses, and for how long a replica stays.
type Spread struct {
	Enabled             bool    `json:"enabled"`
	ZoneLossesPerDay    float64 `json:"zone_losses_per_day"`
	MachineLossesPerDay float64 `json:"machine_losses_per_day"`
	ReplicaDays         float64 `json:"replica_days"`
	MovesPerHour        float64 `json:"moves_per_hour"` // of replicas, to bring them back into balance
	// PrefetchGBPerHour bounds prefetches, for workers that support them, which the protocol does not have; 0: none.
	PrefetchGBPerHour float64 `json:"prefetch_gb_per_hour"`
}

// DefaultOperator gives the built-in settings.
func DefaultOperator() *Operator {
	return &Operator{
		CycleIntervalS:     5,
		EventDrivenCycles:  true,
		DirectStarts:       true,
		PaceHeartbeats:     true,
		CycleBudget:        0.25,
		SpareShare:         0.1,
		IdleBoots:          1.5,
		StuckBoots:         3,
		UnreachableLeases:  0.8,
		PartitionLeases:    12,
		LeaderTTLLeases:    0.2,
		MaxPendingRequests: 256,
		Rollouts: Rollouts{ModelPort: 8000, RouterLeaseS: 15, CheckIntervalS: 2, CheckTimeoutS: 5,
			MaxPlans: 100, MaxRouters: 100},
		// A zone is lost twice a year and 57 machines of 8,800 a day; a replica is placed anew after a month.
		Spread: Spread{ZoneLossesPerDay: 2.0 / 365, MachineLossesPerDay: 57.0 / 8800, ReplicaDays: 30, MovesPerHour: 60},
	}
}

//go:embed operator.schema.json
var operatorSchema []byte

// OperatorSchema is the published schema of the operators' settings.
func OperatorSchema() []byte { return operatorSchema }

// LoadOperator reads the operators' settings over the defaults.
func LoadOperator(path string) (*Operator, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operator settings: %w", err)
	}
	o, err := ParseOperator(data)
	if err != nil {
		return nil, fmt.Errorf("operator settings %s: %w", path, err)
	}
	return o, nil
}

// ParseOperator reads the text of the operators' settings over the defaults.
func ParseOperator(data []byte) (*Operator, error) {
	if err := schema.Check("operator.schema.json", operatorSchema, data); err != nil {
		return nil, err
	}
	o := DefaultOperator()
	if err := json.Unmarshal(data, o); err != nil {
		return nil, err
	}
	return o, errors.Join(o.Metrics.validate(), o.Regions.validate())
}

// validate checks what the schema can't express.
func (m *Metrics) validate() error {
	if m.Listen == "" {
		if m.Pprof {
			return errors.New("/metrics/pprof: profiles need an address in /metrics/listen")
		}
		return nil
	}
	host, port, err := net.SplitHostPort(m.Listen)
	if err == nil && host != "" && host != "localhost" && net.ParseIP(host) == nil {
		err = errors.New("the host is no IP address")
	}
	if number, portErr := strconv.ParseUint(port, 10, 16); err == nil && (portErr != nil || number == 0) {
		err = errors.New("the port is no number from 1 to 65535")
	}
	if err != nil {
		return fmt.Errorf("/metrics/listen: %q is no address of the form host:port: %w", m.Listen, err)
	}
	return nil
}
