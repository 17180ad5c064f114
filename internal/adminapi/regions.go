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
func (r *regions) Ask(ctx context.Context, q *operatorpb.AllowanceAsk) (*operatorpb.AllowanceReply, error) {
	return handle(ctx, r.server, request[*operatorpb.AllowanceReply]{
		relayed: q.GetRelayed(),
		input: func(requestID uint64) core.Input {
			return core.RequestQuota{RequestID: requestID, From: q.GetFrom(), Team: q.GetTeam(), Whole: shareOf(q.GetWhole()), Share: shareOf(q.GetShare())}
		},
		relay: func(ctx context.Context, leader grpc.ClientConnInterface) (*operatorpb.AllowanceReply, error) {
			q.Relayed = true
			return operatorpb.NewRegionsClient(leader).Ask(ctx, q)
		},
		convert: allowanceReply,
	})
}

// Deliver implements the service.
func (r *regions) Deliver(ctx context.Context, q *operatorpb.AllowanceDelivery) (*operatorpb.AllowanceReply, error) {
	return handle(ctx, r.server, request[*operatorpb.AllowanceReply]{
		relayed: q.GetRelayed(),
		input: func(requestID uint64) core.Input {
			transfer := quota.Transfer{From: q.GetFrom(), To: q.GetTo(), Number: q.GetNumber(), Share: shareOf(q.GetShare())}
			return core.DeliverQuota{RequestID: requestID, Team: q.GetTeam(), Whole: shareOf(q.GetWhole()), Transfer: transfer}
		},
		relay: func(ctx context.Context, leader grpc.ClientConnInterface) (*operatorpb.AllowanceReply, error) {
			q.Relayed = true
			return operatorpb.NewRegionsClient(leader).Deliver(ctx, q)
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
			Whole: shareProto(call.Request.Whole),
			Share: shareProto(call.Request.Share),
		})
	case call.Deliver != nil:
		transfer := call.Deliver.Transfer
		_, err = client.Deliver(ctx, &operatorpb.AllowanceDelivery{
			From:   transfer.From,
			To:     transfer.To,
			Team:   call.Deliver.Team,
			Number: transfer.Number,
			Whole:  shareProto(call.Deliver.Whole),
			Share:  shareProto(transfer.Share),
		})
	}
	if err != nil {
		return outcome.Unknown
	}
	return outcome.OK
}

// shareOf decodes a share; amounts below 0 count as none.
func shareOf(s *operatorpb.AllowanceShare) quota.Share {
	amount := func(a *operatorpb.AllowanceAmount) quota.Amount {
		return quota.Amount{GPUs: max(0, a.GetGpus()), CPUs: max(0, a.GetCpus())}
	}
	return quota.Share{Limit: amount(s.GetLimit()), Guarantee: amount(s.GetGuarantee())}
}

func shareProto(s quota.Share) *operatorpb.AllowanceShare {
	amount := func(a quota.Amount) *operatorpb.AllowanceAmount {
		return &operatorpb.AllowanceAmount{Gpus: a.GPUs, Cpus: a.CPUs}
	}
	return &operatorpb.AllowanceShare{Limit: amount(s.Limit), Guarantee: amount(s.Guarantee)}
}
