package fleetsim

import (
	"fmt"

	"bitternwing/internal/config"
	"bitternwing/internal/wire"
)

// catalog returns the cloud's machine types.
func (s *Scenario) catalog() []wire.MachineType {
	var types []wire.MachineType
	for _, group := range s.Machines {
		price := group.GPUs + 1
		types = append(types, wire.MachineType{
			Name:        group.Type,
			CPUs:        group.CPUs,
			GPUs:        group.GPUs,
			MemoryGB:    group.MemoryGB,
			CacheGB:     group.CacheGB,
			FetchGBPerS: group.FetchGBPerS,
			Price:       price,
			SpotPrice:   price,
			BootS:       group.BootS,
			Zones:       s.Zones,
		})
	}
	return types
}

// clockErrorMS is the bound of the clock error in the controllers' settings. It is small as all processes share one
// clock.
const clockErrorMS = 5

// params returns the parameters in the controllers' settings.
func (s *Scenario) params() config.Params {
	return config.Params{
		Nodes:        s.Controllers.Count,
		Zones:        s.Zones,
		ClockErrorMS: clockErrorMS,
		Teams:        s.teams(),
		Workers: config.Workers{
			HeartbeatIntervalS: s.Workers.HeartbeatIntervalS,
			LeaseS:             s.Workers.LeaseS,
			CancelDeadlineS:    s.Workers.CancelS,
		},
		Store: config.Store{RPS: s.Store.RPS, WriteRPS: s.Store.WriteRPS, ValueKB: s.Store.ValueKB, TxnOps: s.Store.TxnOps},
		Cloud: config.Cloud{RPS: s.Cloud.RPS, ListLagS: s.Cloud.ListLagS},
		Limits: config.ProcessLimits{
			CPUShare:       s.Controllers.Cores,
			MemoryMB:       s.Controllers.MemoryMB,
			MaxConnections: s.Controllers.MaxConnections,
		},
	}
}

// teams returns the teams. Their quotas are shares of the GPUs and CPUs of all machines.
func (s *Scenario) teams() []config.Team {
	gpus, cpus := 0.0, 0.0
	for _, group := range s.Machines {
		gpus += float64(group.Count) * group.GPUs
		cpus += float64(group.Count) * group.CPUs
	}
	var teams []config.Team
	for i := range s.Teams.Count {
		teams = append(teams, config.Team{
			Name:           fmt.Sprintf("team-%03d", i),
			GuaranteedGPUs: gpus * s.Teams.GuaranteedShare,
			MaxGPUs:        gpus * s.Teams.LimitShare,
			GuaranteedCPUs: cpus * s.Teams.GuaranteedShare,
			MaxCPUs:        cpus * s.Teams.LimitShare,
		})
	}
	return teams
}

// evenShare divides count into parts that differ by at most one, the larger ones first, and returns the part at index.
func evenShare(count, parts, index int) int {
	size := count / parts
	if index < count%parts {
		size++
	}
	return size
}
