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

// placementsServer implements the Placements service.
type placementsServer struct {
	operatorpb.UnimplementedPlacementsServer
	server *Server
}

// Show implements operatorpb.PlacementsServer.
func (p *placementsServer) Show(ctx context.Context, request *operatorpb.PlacementRequest) (*operatorpb.PlacementReply, error) {
	if !wire.ValidJobID(request.GetJob()) {
		return nil, status.Error(codes.InvalidArgument, "job: is no job id")
	}
	return handle(ctx, p.server, relayableRequest[*operatorpb.PlacementReply]{
		relayed: request.GetRelayed(),
		input: func(requestID uint64) core.Input {
			return core.GetPlacements{RequestID: requestID, Job: request.GetJob()}
		},
		relay: func(ctx context.Context, leader grpc.ClientConnInterface) (*operatorpb.PlacementReply, error) {
			relayed := &operatorpb.PlacementRequest{Job: request.GetJob(), Relayed: true}
			return operatorpb.NewPlacementsClient(leader).Show(ctx, relayed, allowLargeReplies)
		},
		convert: placementReply,
	})
}

// placementReply converts the core's response to a reply message.
func placementReply(response core.Response) (*operatorpb.PlacementReply, error) {
	replicas, ok := response.Body.([]core.ReplicaPlacement)
	if !ok {
		return nil, errUnexpectedResponseBody
	}
	reply := &operatorpb.PlacementReply{}
	for _, r := range replicas {
		reply.Replicas = append(reply.Replicas, &operatorpb.PlacedReplica{
			Task:         r.Task,
			Attempt:      r.Attempt,
			Machine:      r.Machine,
			Zone:         r.Zone,
			Chosen:       r.PlacedByThisLeader,
			Weighed:      r.SpreadWeighed,
			LoadS:        r.ImageLoadS,
			LossS:        r.ExpectedLossS,
			Warmest:      r.BestFit,
			WarmestLoadS: r.BestFitLoadS,
			AvoidedS:     r.AvoidedLossS,
		})
	}
	return reply, nil
}
