package adminapi

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"bitternwing/internal/adminapi/operatorpb"
	"bitternwing/internal/core"
	"bitternwing/internal/wire"
)

// placements implements the service of placements.
type placements struct {
	operatorpb.UnimplementedPlacementsServer
	server *Server
}

// Show implements the service.
func (p *placements) Show(ctx context.Context, q *operatorpb.PlacementRequest) (*operatorpb.PlacementReply, error) {
	if !wire.ValidJobID(q.GetJob()) {
		return nil, status.Error(codes.InvalidArgument, "job: is no job id")
	}
	return handle(ctx, p.server, q.GetRelayed(), func(req uint64) core.Input { return core.GetPlacements{RequestID: req, Job: q.GetJob()} },
		func(ctx context.Context, leader grpc.ClientConnInterface) (*operatorpb.PlacementReply, error) {
			return operatorpb.NewPlacementsClient(leader).Show(ctx, &operatorpb.PlacementRequest{Job: q.GetJob(), Relayed: true}, unlimitedReplySize)
		}, placementReply)
}

// placementReply gives the places of a job's replicas on the wire.
func placementReply(a core.Response) (*operatorpb.PlacementReply, error) {
	places, ok := a.Body.([]core.ReplicaPlacement)
	if !ok {
		return nil, errUnexpectedResponse
	}
	reply := &operatorpb.PlacementReply{}
	for _, x := range places {
		reply.Replicas = append(reply.Replicas, &operatorpb.PlacedReplica{Task: x.Task, Attempt: x.Attempt, Machine: x.Machine, Zone: x.Zone,
			Chosen: x.Chosen, Weighed: x.Weighed, LoadS: x.LoadS, LossS: x.LossS, Warmest: x.Warmest, WarmestLoadS: x.WarmestLoadS, AvoidedS: x.AvoidedS})
	}
	return reply, nil
}
