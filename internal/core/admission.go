package core

import (
	"slices"

	"bitternwing/internal/config"
	"bitternwing/internal/scheduling"
	"bitternwing/internal/wire"
)

// admission is the result of the admission check of a job.
type admission int

const (
	admissible       admission = iota // the job fits an offered machine type and its team's quota
	inadmissible                      // the job can never run here
	admissionUnknown                  // the machine types are not known yet
)

// checkAdmission checks whether a job can ever run here.
func (c *Core) checkAdmission(spec *wire.Job) admission {
	team := c.team(spec.Team)
	if team == nil || exceedsQuota(spec, team) {
		return inadmissible
	}
	if !c.catalog.known() {
		return admissionUnknown
	}
	zones := c.catalog.zonesFor(spec)
	if len(zones) == 0 {
		return inadmissible
	}
	if spec.SpreadZones && spec.Tasks > 1 && (spec.SingleZone || len(zones) < 2) {
		return inadmissible
	}
	return admissible
}

// exceedsQuota reports whether a job can't run within its team's quota. All tasks of a service run at the same time,
// while the tasks of an array may run one at a time.
func exceedsQuota(spec *wire.Job, team *config.Team) bool {
	tasks := 1.0
	if spec.Kind == wire.KindService {
		tasks = float64(spec.Tasks)
	}
	return scheduling.ExceedsLimit(tasks*spec.CPUs, team.MaxCPUs) || scheduling.ExceedsLimit(tasks*spec.GPUs, team.MaxGPUs)
}

// zonesFor returns the zones in which the cloud offers a machine type on which a job's tasks can run.
func (m *machineCatalog) zonesFor(spec *wire.Job) map[string]bool {
	zones := map[string]bool{}
	for i := range m.types {
		machineType := &m.types[i]
		if !allowsType(spec, machineType.Name) || !fitsType(spec, machineType) {
			continue
		}
		for _, zone := range machineType.Zones {
			if spec.Zone == "" || spec.Zone == zone {
				zones[zone] = true
			}
		}
	}
	return zones
}

// fitsType reports whether a task of a job fits on an empty machine of a type.
func fitsType(spec *wire.Job, machineType *wire.MachineType) bool {
	return spec.CPUs <= machineType.CPUs && spec.GPUs <= machineType.GPUs && spec.MemoryGB <= machineType.MemoryGB
}

// allowsType reports whether a job allows a machine type.
func allowsType(spec *wire.Job, name string) bool {
	return spec.MachineTypes == nil || slices.Contains(spec.MachineTypes, name)
}

// team returns the settings of a team, or nil if there is no such team.
func (c *Core) team(name string) *config.Team {
	for i := range c.settings.Params.Teams {
		if c.settings.Params.Teams[i].Name == name {
			return &c.settings.Params.Teams[i]
		}
	}
	return nil
}
