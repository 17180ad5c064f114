package core

import "bitternwing/internal/wire"

// GetPlacements asks where the replicas of a job are, and what each place cost. Only the node that leads answers.
type GetPlacements struct {
	RequestID uint64
	Job       string
}

func (GetPlacements) input() {}

// ReplicaPlacement is where a replica is. Costs are in seconds of replica time, see package spread.
type ReplicaPlacement struct {
	Task    string
	Attempt uint64
	Machine string
	Zone    string
	// Chosen tells that this leader chose the place, so that what follows is known; Weighed that spread was weighed.
	Chosen  bool
	Weighed bool
	LoadS   float64
	LossS   float64
	// Warmest is the machine with the warmest weights where another one was chosen, "" else.
	Warmest      string
	WarmestLoadS float64
	AvoidedS     float64
}

// handleGetPlacements answers with the places of a job's replicas, and tells of that job alone.
func (c *Core) handleGetPlacements(in GetPlacements) {
	l := c.leaderForRequest(in.RequestID)
	if l == nil {
		return
	}
	j := l.jobs[in.Job]
	if j == nil {
		c.respond(in.RequestID, 404, wire.ErrorBody{Error: "no such job, or it is over"})
		return
	}
	places := []ReplicaPlacement{}
	for _, p := range j.placementsByTask() {
		t := p.cost
		places = append(places, ReplicaPlacement{Task: p.name(), Attempt: p.attempt, Machine: p.machine.name, Zone: p.machine.zone,
			Chosen: p.startSequence != startSequenceUnknown, Weighed: t.spreadWeighed, LoadS: t.imageLoadS, LossS: t.expectedLossS,
			Warmest: t.warmestMachine, WarmestLoadS: t.warmestLoadS, AvoidedS: t.avoidedS})
	}
	c.respond(in.RequestID, 200, places)
}
