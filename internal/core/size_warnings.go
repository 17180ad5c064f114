package core

import "bitternwing/internal/sizing"

// sizeWarnings are the settings of which the log has told that they are too small for the fleet.
type sizeWarnings struct {
	machines int // the largest fleet that was checked
	told     map[string]bool
}

// warnOfSize logs the settings that are too small for the fleet, or for the one that operators expect, each once.
func (c *Core) warnOfSize(machines int) {
	machines = max(machines, c.op.ExpectedMachines)
	if machines <= c.sized.machines {
		return
	}
	c.sized.machines = machines
	for _, short := range sizing.Check(&c.set.Params, machines) {
		if c.sized.told[short.Field] {
			continue
		}
		if c.sized.told == nil {
			c.sized.told = map[string]bool{}
		}
		c.sized.told[short.Field] = true
		c.log(Info, "setting is too small for the fleet", "field", short.Field, "value", short.Value, "least", short.Least,
			"machines", machines, "effect", short.Effect)
	}
}
