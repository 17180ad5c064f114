package core

import (
	"net/http"

	"bitternwing/internal/wire"
)

// GetPlacements requests the placements of a job's replicas, with what each of them cost. Only the leader answers.
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
	// Chosen tells that this leader made the placement, so that what follows is known; Weighed that image load was weighed
	// against spread.
	Chosen  bool
	Weighed bool
	LoadS   float64
	LossS   float64
	// Warmest is the machine that was closest to having the weights, if another one was chosen; "" otherwise.
	Warmest      string
	WarmestLoadS float64
	AvoidedS     float64
}

// handleGetPlacements answers with the placements of a job's replicas.
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
	places := []ReplicaPlacement{}
	for _, p := range j.placementsByTask() {
		cost := p.cost
		places = append(places, ReplicaPlacement{Task: p.name(), Attempt: p.attempt, Machine: p.machine.name, Zone: p.machine.zone,
			Chosen: p.startSequence != startSequenceUnknown, Weighed: cost.spreadWeighed, LoadS: cost.imageLoadS, LossS: cost.expectedLossS,
			Warmest: cost.bestCached, WarmestLoadS: cost.bestCachedLoadS, AvoidedS: cost.avoidedLossS})
	}
	c.respond(in.RequestID, http.StatusOK, places)
}
