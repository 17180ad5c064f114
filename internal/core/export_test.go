package core

// Looks is how many looks at machines the rounds of this node's present term took.
func (c *Core) Looks() int {
	if c.lead == nil {
		return 0
	}
	return c.lead.rounds.spent
}

// LooksPerSecond is what the settings allow of them, at the cost that was measured.
func (c *Core) LooksPerSecond() float64 { return c.looksPerSecond() }

// LastLooks is how many the last step took.
func (c *Core) LastLooks() int { return c.looks.taken }

// Finals is how many final states this node remembers.
func (c *Core) Finals() int { return len(c.dir.finals) }
