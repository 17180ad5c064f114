package core

import "bitternwing/internal/config"

// Looks is how many looks at machines the rounds of this node's present term took.
func (c *Core) Looks() int {
	if c.lead == nil {
		return 0
	}
	return c.lead.rounds.spent
}

// LooksPerSecond is what the settings allow of them.
func LooksPerSecond(s *config.Settings) float64 { return looksPerSecond(s, s.Operator) }

// Finals is how many final states this node remembers.
func (c *Core) Finals() int { return len(c.dir.finals) }
