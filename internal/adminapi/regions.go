package adminapi

import (
	"context"

	"google.golang.org/grpc"

	"bitternwing/internal/adminapi/operatorpb"
	"bitternwing/internal/core"
	"bitternwing/internal/outcome"
	"bitternwing/internal/quota"
)

// regions implements the service for the controllers of other regions.
type regions struct {
	operatorpb.UnimplementedRegionsServer
	server *Server
}

// Ask implements the service.
func (r *regions) Ask(ctx context.Context, request *operatorpb.AllowanceAsk) (*operatorpb.AllowanceReply, error) {
	return handle(ctx, r.server, relayable[*operatorpb.AllowanceReply]{
		relayed: request.GetRelayed(),
		input: func(requestID uint64) core.Input {
			return core.RequestQuota{
				RequestID: requestID,
				From:      request.GetFrom(),
				Team:      request.GetTeam(),
				Total:     shareOf(request.GetWhole()),
				Share:     shareOf(request.GetShare()),
			}
		},
		relay: func(ctx context.Context, leader grpc.ClientConnInterface) (*operatorpb.AllowanceReply, error) {
			request.Relayed = true
			return operatorpb.NewRegionsClient(leader).Ask(ctx, request)
		},
		convert: allowanceReply,
	})
}

// Deliver implements the service.
func (r *regions) Deliver(ctx context.Context, request *operatorpb.AllowanceDelivery) (*operatorpb.AllowanceReply, error) {
	return handle(ctx, r.server, relayable[*operatorpb.AllowanceReply]{
		relayed: request.GetRelayed(),
		input: func(requestID uint64) core.Input {
			transfer := quota.Transfer{From: request.GetFrom(), To: request.GetTo(), Number: request.GetNumber(), Share: shareOf(request.GetShare())}
			return core.DeliverQuota{RequestID: requestID, Team: request.GetTeam(), Total: shareOf(request.GetWhole()), Transfer: transfer}
		},
		relay: func(ctx context.Context, leader grpc.ClientConnInterface) (*operatorpb.AllowanceReply, error) {
			request.Relayed = true
			return operatorpb.NewRegionsClient(leader).Deliver(ctx, request)
		},
		convert: allowanceReply,
	})
}

// allowanceReply is empty: that there is one says that the message was committed.
func allowanceReply(core.Response) (*operatorpb.AllowanceReply, error) {
	return &operatorpb.AllowanceReply{}, nil
}

// CallRegion sends a message to a controller of another region.
func CallRegion(ctx context.Context, connection grpc.ClientConnInterface, call core.CallRegion) outcome.Outcome {
	client := operatorpb.NewRegionsClient(connection)
	var err error
	switch {
	case call.Request != nil:
		_, err = client.Ask(ctx, &operatorpb.AllowanceAsk{
			From:  call.Request.From,
			Team:  call.Request.Team,
			Whole: shareProto(call.Request.Total),
			Share: shareProto(call.Request.Share),
		})
	case call.Deliver != nil:
		transfer := call.Deliver.Transfer
		_, err = client.Deliver(ctx, &operatorpb.AllowanceDelivery{
			From:   transfer.From,
			To:     transfer.To,
			Team:   call.Deliver.Team,
			Number: transfer.Number,
			Whole:  shareProto(call.Deliver.Total),
			Share:  shareProto(transfer.Share),
		})
	}
	if err != nil {
		return outcome.Unknown
	}
	return outcome.OK
}

// shareOf decodes a share; amounts below 0 count as none.
func shareOf(share *operatorpb.AllowanceShare) quota.Share {
	amount := func(amount *operatorpb.AllowanceAmount) quota.Amount {
		return quota.Amount{GPUs: max(0, amount.GetGpus()), CPUs: max(0, amount.GetCpus())}
	}
	return quota.Share{Limit: amount(share.GetLimit()), Guarantee: amount(share.GetGuarantee())}
}

func shareProto(share quota.Share) *operatorpb.AllowanceShare {
	amount := func(amount quota.Amount) *operatorpb.AllowanceAmount {
		return &operatorpb.AllowanceAmount{Gpus: amount.GPUs, Cpus: amount.CPUs}
	}
	return &operatorpb.AllowanceShare{Limit: amount(share.Limit), Guarantee: amount(share.Guarantee)}
}
