// Package sizing checks whether settings are large enough for a fleet of a given size. It is pure: it reads no
// files and makes no measurements.
package sizing

import (
	"fmt"
	"math"

	"bitternwing/internal/config"
	"bitternwing/internal/wire"
)

// Requirements of the leader for each machine. docs/CAPACITY.md explains the values.
const (
	// connectionsPerMachine is 2 because half of the connections are reserved for workers, each of which keeps one
	// open.
	connectionsPerMachine = 2
	baseMemoryMB          = 30
	memoryMBPerMachine    = 0.1
	coresPerMachine       = 0.0001 // with few starts in progress; a busy fleet needs twice as much
	// listRateShare is the share of the cloud's rate limit that is available for reading pages of its machine list:
	// half of the eight tenths of the limit that are used.
	listRateShare = 0.4
)

// UndersizedSetting is a setting that is too small for a fleet.
type UndersizedSetting struct {
	Field   string  // name in the platform configuration file
	Value   float64 // configured value
	Minimum float64 // lowest sufficient value
	Effect  string  // what happens with a value that is too small
}

// String returns a one-line description of the shortfall.
func (s UndersizedSetting) String() string {
	return fmt.Sprintf("%s is %g, must be at least %g: %s", s.Field, s.Value, s.Minimum, s.Effect)
}

// Check returns the settings that are too small for the given number of machines.
func Check(p *config.Params, machines int) []UndersizedSetting {
	n := float64(machines)
	pages := math.Ceil(n / wire.MaxPageMachines)
	requirements := []UndersizedSetting{
		{"params.limits.max_connections", float64(p.Limits.MaxConnections), connectionsPerMachine * n,
			"workers open a new connection for each heartbeat"},
		{"params.limits.memory_mb", p.Limits.MemoryMB, math.Ceil(baseMemoryMB + memoryMBPerMachine*n),
			"the leader spends most of its time on garbage collection, or is killed and replaced by another one"},
		{"params.limits.core_share", p.Limits.CPUShare, roundUpToHundredth(coresPerMachine * n),
			"scheduling decisions and responses to heartbeats are delayed"},
		{"params.cloud.rps", p.Cloud.RPS, roundUpToHundredth(pages / (listRateShare * p.Cloud.ListLagS)),
			"the cloud's machine list is read less often than it changes, and lost machines are detected later"},
	}
	var undersized []UndersizedSetting
	for _, requirement := range requirements {
		if requirement.Value < requirement.Minimum {
			undersized = append(undersized, requirement)
		}
	}
	return undersized
}

// roundUpToHundredth rounds up to two decimal places.
func roundUpToHundredth(v float64) float64 { return math.Ceil(v*100) / 100 }
