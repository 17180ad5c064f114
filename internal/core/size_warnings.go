package core

import "bitternwing/internal/sizing"

// sizeWarnings records which settings have been logged as too small for the fleet.
type sizeWarnings struct {
	machines int             // size of the largest fleet checked so far
	logged   map[string]bool // by the setting's name
}

// warnOfUndersizedSettings logs the settings that are too small for the current or the expected fleet size. Each
// setting is logged once.
func (c *Core) warnOfUndersizedSettings(machines int) {
	machines = max(machines, c.operator.ExpectedMachines)
	if machines <= c.sizeWarnings.machines {
		return
	}
	c.sizeWarnings.machines = machines
	for _, setting := range sizing.Check(&c.settings.Params, machines) {
		if c.sizeWarnings.logged[setting.Field] {
			continue
		}
		if c.sizeWarnings.logged == nil {
			c.sizeWarnings.logged = map[string]bool{}
		}
		c.sizeWarnings.logged[setting.Field] = true
		c.log(Info, "setting too small for fleet size", "field", setting.Field, "value", setting.Value, "minimum", setting.Minimum,
			"workers", machines, "effect", setting.Effect)
	}
}
