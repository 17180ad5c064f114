// Package sizing checks whether settings are large enough for a fleet of a given size. It is pure.
package sizing

import (
	"fmt"
	"math"

	"bitternwing/internal/config"
	"bitternwing/internal/wire"
)

// What the leader needs for each machine, as measured in docs/CAPACITY.md.
const (
	// socketsPerMachine: half of the sockets are the workers' alone, and each keeps one.
	socketsPerMachine = 2
	baseMemoryMB      = 30
	memoryPerMachine  = 0.1    // MB
	coresPerMachine   = 0.0001 // of a fleet with little to start; a busy one takes twice as much
	// listShare is the share of the cloud's rate limit that pages of its list may take: half of the eight tenths in use.
	listShare = 0.4
)

// Shortfall is a setting that is too small for a fleet.
type Shortfall struct {
	Field  string  // its name in the platform's file
	Value  float64 // as it is
	Least  float64 // that is sufficient
	Effect string  // of a value that is too small
}

// String describes the shortfall in a line.
func (s Shortfall) String() string {
	return fmt.Sprintf("%s: is %g, at least %g would do: %s", s.Field, s.Value, s.Least, s.Effect)
}

// Check gives the settings that are too small for a number of machines.
func Check(p *config.Params, machines int) []Shortfall {
	n := float64(machines)
	pages := math.Ceil(n / wire.MaxPageMachines)
	needs := []Shortfall{
		{"params.limits.max_connections", float64(p.Limits.MaxConnections), socketsPerMachine * n,
			"workers connect anew for each report"},
		{"params.limits.memory_mb", p.Limits.MemoryMB, math.Ceil(baseMemoryMB + memoryPerMachine*n),
			"the leader spends its time collecting garbage, or is killed and another one leads"},
		{"params.limits.core_share", p.Limits.CPUShare, roundUp(coresPerMachine * n),
			"decisions and answers to reports come late"},
		{"params.cloud.rps", p.Cloud.RPS, roundUp(pages / (listShare * p.Cloud.ListLagS)),
			"the cloud's list is read less often than it changes, and machines that are gone are noticed later"},
	}
	var short []Shortfall
	for _, need := range needs {
		if need.Value < need.Least {
			short = append(short, need)
		}
	}
	return short
}

// roundUp rounds up to two decimals.
func roundUp(v float64) float64 { return math.Ceil(v*100) / 100 }
