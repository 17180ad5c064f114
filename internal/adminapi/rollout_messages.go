package adminapi

import (
	"bitternwing/internal/adminapi/operatorpb"
	"bitternwing/internal/core"
	"bitternwing/internal/rollout"
)

// planStatus converts the core's response to a reply message.
func planStatus(response core.Response) (*operatorpb.PlanStatus, error) {
	plan, ok := response.Body.(core.PlanStatus)
	if !ok {
		return nil, errUnexpectedResponseBody
	}
	reply := &operatorpb.PlanStatus{
		Problem:          plan.Problem,
		Settled:          plan.Reconciled,
		OldCapacity:      plan.Capacity.Old,
		NewCapacity:      plan.Capacity.New,
		PromisedCapacity: plan.Capacity.Promised,
		Generation:       generationToProto(plan.Routing.Generation),
		Routers:          plan.Routers,
	}
	if record := plan.Record; record != nil {
		reply.Name = record.Plan.Name
		reply.Phase = string(record.Phase)
		reply.Step = int32(record.Step + 1)
		reply.Steps = int32(len(record.Plan.Steps))
		reply.SinceMs = record.SinceMS
		reply.Paused = record.PausedMS != 0
		reply.Reason = string(record.Reason)
		reply.Detail = record.Detail
	}
	shares := map[string]float64{}
	for _, weight := range plan.Routing.Weights {
		shares[weight.Task] = weight.Share
		if weight.Version == rollout.NewVersion {
			reply.NewShare += weight.Share
		}
	}
	for _, replica := range plan.Replicas {
		reply.Replicas = append(reply.Replicas, &operatorpb.Replica{
			Task:    replica.Replica.Task,
			Attempt: replica.Replica.Attempt,
			Version: string(replica.Replica.Version),
			Proved:  replica.Validated,
			Verdict: replica.Verdict.String(),
			Check:   replica.Check,
			Share:   shares[replica.Replica.Task],
		})
	}
	return reply, nil
}

// routeReply converts the core's response to a reply message.
func routeReply(response core.Response) (*operatorpb.RouteReply, error) {
	grant, ok := response.Body.(core.RoutingGrant)
	if !ok {
		return nil, errUnexpectedResponseBody
	}
	return &operatorpb.RouteReply{
		Generation: generationToProto(grant.Routing.Generation),
		Weights:    weightsToProto(grant.Routing.Weights),
		Fallback:   weightsToProto(grant.Routing.Fallback),
		LeaseMs:    grant.LeaseMS,
	}, nil
}

func generationToProto(generation rollout.Generation) *operatorpb.Generation {
	return &operatorpb.Generation{Term: generation.Term, Revision: generation.Revision}
}

func weightsToProto(weights []rollout.Weight) []*operatorpb.Weight {
	var messages []*operatorpb.Weight
	for _, w := range weights {
		messages = append(messages, &operatorpb.Weight{Task: w.Task, Attempt: w.Attempt, Address: w.Address, Version: string(w.Version), Share: w.Share})
	}
	return messages
}
