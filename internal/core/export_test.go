package core

// Evaluations is how many the rounds of this node's present term took.
func (c *Core) Evaluations() int {
	if c.lead == nil {
		return 0
	}
	return c.lead.rounds.spent
}

// LooksPerSecond is what the settings allow of them, at the cost that was measured.
func (c *Core) EvaluationsPerSecond() float64 { return c.evaluationsPerSecond() }

// LastLooks is how many the last step took.
func (c *Core) LastEvaluations() int { return c.evaluations.Taken() }

// Finals is how many final states this node remembers.
func (c *Core) Finals() int { return len(c.dir.finals) }
