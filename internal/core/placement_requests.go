package core

import (
	"net/http"

	"bitternwing/internal/wire"
)

// GetPlacements requests the placements of a job's replicas with their costs. Only the leader responds to it.
type GetPlacements struct {
	RequestID uint64
	Job       string
}

func (GetPlacements) input() {}

// ReplicaPlacement is the placement of a replica. Costs are in seconds of replica time, see package topologyspread.
type ReplicaPlacement struct {
	Task    string
	Attempt uint64
	Machine string
	Zone    string
	// PlacedByThisLeader reports whether this leader made the placement; the costs below are known only then.
	PlacedByThisLeader bool
	// SpreadWeighed reports whether image load time was weighed against spread.
	SpreadWeighed bool
	ImageLoadS    float64
	ExpectedLossS float64
	// BestFit is the machine that would have been chosen without spreading, if another one was chosen; "" otherwise.
	BestFit      string
	BestFitLoadS float64
	AvoidedLossS float64
}

// handleGetPlacements responds with the placements of a job's replicas.
func (c *Core) handleGetPlacements(in GetPlacements) {
	l := c.leaderForRequest(in.RequestID)
	if l == nil {
		return
	}
	j := l.jobs[in.Job]
	if j == nil {
		c.respond(in.RequestID, http.StatusNotFound, wire.ErrorBody{Error: "no such job, or it is over"})
		return
	}
	replicas := []ReplicaPlacement{}
	for _, p := range j.placementsByTask() {
		cost := p.cost
		replicas = append(replicas, ReplicaPlacement{Task: p.name(), Attempt: p.attempt, Machine: p.machine.name, Zone: p.machine.zone,
			PlacedByThisLeader: p.startSequence != startSequenceUnknown, SpreadWeighed: cost.spreadWeighed, ImageLoadS: cost.imageLoadS, ExpectedLossS: cost.expectedLossS,
			BestFit: cost.bestFit, BestFitLoadS: cost.bestFitLoadS, AvoidedLossS: cost.avoidedLossS})
	}
	c.respond(in.RequestID, http.StatusOK, replicas)
}
