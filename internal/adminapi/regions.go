package adminapi

import (
	"context"

	"google.golang.org/grpc"

	"bitternwing/internal/adminapi/operatorpb"
	"bitternwing/internal/core"
	"bitternwing/internal/outcome"
	"bitternwing/internal/quota"
)

// regionsServer implements the Regions service, which the controllers of other regions call. In its messages, a
// team's quota is called an allowance.
type regionsServer struct {
	operatorpb.UnimplementedRegionsServer
	server *Server
}

// Ask implements operatorpb.RegionsServer.
func (r *regionsServer) Ask(ctx context.Context, request *operatorpb.AllowanceAsk) (*operatorpb.AllowanceReply, error) {
	return handle(ctx, r.server, relayableRequest[*operatorpb.AllowanceReply]{
		relayed: request.GetRelayed(),
		input: func(requestID uint64) core.Input {
			return core.RequestQuota{
				RequestID: requestID,
				From:      request.GetFrom(),
				Team:      request.GetTeam(),
				Total:     shareFromProto(request.GetWhole()),
				Share:     shareFromProto(request.GetShare()),
			}
		},
		relay: func(ctx context.Context, leader grpc.ClientConnInterface) (*operatorpb.AllowanceReply, error) {
			request.Relayed = true
			return operatorpb.NewRegionsClient(leader).Ask(ctx, request)
		},
		convert: allowanceReply,
	})
}

// Deliver implements operatorpb.RegionsServer.
func (r *regionsServer) Deliver(ctx context.Context, request *operatorpb.AllowanceDelivery) (*operatorpb.AllowanceReply, error) {
	return handle(ctx, r.server, relayableRequest[*operatorpb.AllowanceReply]{
		relayed: request.GetRelayed(),
		input: func(requestID uint64) core.Input {
			transfer := quota.Transfer{From: request.GetFrom(), To: request.GetTo(), Number: request.GetNumber(), Share: shareFromProto(request.GetShare())}
			return core.DeliverQuota{RequestID: requestID, Team: request.GetTeam(), Total: shareFromProto(request.GetWhole()), Transfer: transfer}
		},
		relay: func(ctx context.Context, leader grpc.ClientConnInterface) (*operatorpb.AllowanceReply, error) {
			request.Relayed = true
			return operatorpb.NewRegionsClient(leader).Deliver(ctx, request)
		},
		convert: allowanceReply,
	})
}

// allowanceReply returns an empty message. A reply means that the core committed the request.
func allowanceReply(core.Response) (*operatorpb.AllowanceReply, error) {
	return &operatorpb.AllowanceReply{}, nil
}

// CallRegion sends a quota request or a quota transfer to a controller of another region. The outcome of a failed call
// is unknown, as the request may have been committed.
func CallRegion(ctx context.Context, connection grpc.ClientConnInterface, call core.CallRegion) outcome.Outcome {
	client := operatorpb.NewRegionsClient(connection)
	var err error
	switch {
	case call.Request != nil:
		_, err = client.Ask(ctx, &operatorpb.AllowanceAsk{
			From:  call.Request.From,
			Team:  call.Request.Team,
			Whole: shareToProto(call.Request.Total),
			Share: shareToProto(call.Request.Share),
		})
	case call.Deliver != nil:
		transfer := call.Deliver.Transfer
		_, err = client.Deliver(ctx, &operatorpb.AllowanceDelivery{
			From:   transfer.From,
			To:     transfer.To,
			Team:   call.Deliver.Team,
			Number: transfer.Number,
			Whole:  shareToProto(call.Deliver.Total),
			Share:  shareToProto(transfer.Share),
		})
	}
	if err != nil {
		return outcome.Unknown
	}
	return outcome.OK
}

// shareFromProto converts a share. It replaces negative amounts by 0.
func shareFromProto(share *operatorpb.AllowanceShare) quota.Share {
	amount := func(amount *operatorpb.AllowanceAmount) quota.Amount {
		return quota.Amount{GPUs: max(0, amount.GetGpus()), CPUs: max(0, amount.GetCpus())}
	}
	return quota.Share{Limit: amount(share.GetLimit()), Guarantee: amount(share.GetGuarantee())}
}

func shareToProto(share quota.Share) *operatorpb.AllowanceShare {
	amount := func(amount quota.Amount) *operatorpb.AllowanceAmount {
		return &operatorpb.AllowanceAmount{Gpus: amount.GPUs, Cpus: amount.CPUs}
	}
	return &operatorpb.AllowanceShare{Limit: amount(share.Limit), Guarantee: amount(share.Guarantee)}
}
