package core

import (
	"bitternwing/internal/config"
	"bitternwing/internal/scheduling"
	"bitternwing/internal/wire"
)

// admission tells what becomes of a submission.
type admission int

const (
	admissible       admission = iota // it can run on some machine, within its team's limit
	inadmissible                      // it can't, whatever happens
	admissionUnknown                  // the machine types are not known yet
)

// admissionOf tells whether a job can ever run here.
func (c *Core) admissionOf(j *wire.Job) admission {
	team := c.team(j.Team)
	if team == nil {
		return inadmissible
	}
	n := 1.0
	if j.Kind == wire.KindService {
		n = float64(j.Tasks)
	}
	if scheduling.ExceedsLimit(n*j.CPUs, team.MaxCPUs) || scheduling.ExceedsLimit(n*j.GPUs, team.MaxGPUs) {
		return inadmissible
	}
	if !c.catalog.known() {
		return admissionUnknown
	}
	zones := map[string]bool{}
	for i := range c.catalog.types {
		t := &c.catalog.types[i]
		if !allowsType(j, t.Name) || j.CPUs > t.CPUs || j.GPUs > t.GPUs || j.MemoryGB > t.MemoryGB {
			continue
		}
		for _, z := range t.Zones {
			if j.Zone == "" || j.Zone == z {
				zones[z] = true
			}
		}
	}
	if len(zones) == 0 {
		return inadmissible
	}
	if j.SpreadZones && j.Tasks > 1 && (j.SingleZone || len(zones) < 2) {
		return inadmissible
	}
	return admissible
}

func allowsType(j *wire.Job, name string) bool {
	if j.MachineTypes == nil {
		return true
	}
	for _, t := range j.MachineTypes {
		if t == name {
			return true
		}
	}
	return false
}

// team gives the settings of a team; nil if there is no such team.
func (c *Core) team(name string) *config.Team {
	for i := range c.settings.Params.Teams {
		if c.settings.Params.Teams[i].Name == name {
			return &c.settings.Params.Teams[i]
		}
	}
	return nil
}
