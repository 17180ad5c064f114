package fleetsim

import (
	"fmt"

	"bitternwing/internal/config"
	"bitternwing/internal/wire"
)

// catalog gives the machine types.
func (s *Scenario) catalog() []wire.MachineType {
	var types []wire.MachineType
	for _, g := range s.Machines {
		types = append(types, wire.MachineType{Name: g.Type, CPUs: g.CPUs, GPUs: g.GPUs, MemoryGB: g.MemoryGB, CacheGB: g.CacheGB,
			FetchGBPerS: g.FetchGBPerS, Price: g.GPUs + 1, SpotPrice: g.GPUs + 1, BootS: g.BootS, Zones: s.Zones})
	}
	return types
}

// params gives the controllers' settings.
func (s *Scenario) params() config.Params {
	gpus, cpus := 0.0, 0.0
	for _, g := range s.Machines {
		gpus += float64(g.Count) * g.GPUs
		cpus += float64(g.Count) * g.CPUs
	}
	p := config.Params{Nodes: s.Controllers.Count, Zones: s.Zones, ClockErrorMS: 5,
		Workers: config.Workers{HeartbeatIntervalS: s.Workers.HeartbeatIntervalS, LeaseS: s.Workers.LeaseS, CancelS: s.Workers.CancelS},
		Store:   config.Store{RPS: s.Store.RPS, WriteRPS: s.Store.WriteRPS, ValueKB: s.Store.ValueKB, TxnOps: s.Store.TxnOps},
		Cloud:   config.Cloud{RPS: s.Cloud.RPS, ListLagS: s.Cloud.ListLagS},
		Limits: config.Limits{CPUShare: s.Controllers.Cores, MemoryMB: s.Controllers.MemoryMB,
			MaxConnections: s.Controllers.MaxConnections}}
	for i := range s.Teams.Count {
		p.Teams = append(p.Teams, config.Team{Name: fmt.Sprintf("team-%03d", i),
			GuaranteedGPUs: gpus * s.Teams.GuaranteedShare, MaxGPUs: gpus * s.Teams.LimitShare,
			GuaranteedCPUs: cpus * s.Teams.GuaranteedShare, MaxCPUs: cpus * s.Teams.LimitShare})
	}
	return p
}

// evenShare gives one of so many equal shares of a count; the first ones have what is left over.
func evenShare(count, parts, index int) int {
	n := count / parts
	if index < count%parts {
		n++
	}
	return n
}
