package core

import "bitternwing/internal/sizing"

// sizeWarnings are the settings that were logged as too small for the fleet.
type sizeWarnings struct {
	machines int // the largest fleet that was checked
	logged   map[string]bool
}

// warnOfUndersizedSettings logs the settings that are too small for the fleet, or for the one that operators expect, each once.
func (c *Core) warnOfUndersizedSettings(machines int) {
	machines = max(machines, c.operator.ExpectedMachines)
	if machines <= c.sizeWarnings.machines {
		return
	}
	c.sizeWarnings.machines = machines
	for _, short := range sizing.Check(&c.settings.Params, machines) {
		if c.sizeWarnings.logged[short.Field] {
			continue
		}
		if c.sizeWarnings.logged == nil {
			c.sizeWarnings.logged = map[string]bool{}
		}
		c.sizeWarnings.logged[short.Field] = true
		c.log(Info, "setting too small for fleet size", "field", short.Field, "value", short.Value, "minimum", short.Minimum,
			"workers", machines, "effect", short.Effect)
	}
}
