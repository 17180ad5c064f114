package adminapi

import (
	"context"

	"google.golang.org/grpc"

	"bitternwing/internal/adminapi/operatorpb"
	"bitternwing/internal/core"
	"bitternwing/internal/outcome"
	"bitternwing/internal/quota"
)

// regions implements the service for other regions.
type regions struct {
	operatorpb.UnimplementedRegionsServer
	server *Server
}

// Ask implements the service.
func (r *regions) Ask(ctx context.Context, q *operatorpb.AllowanceAsk) (*operatorpb.AllowanceReply, error) {
	return handle(ctx, r.server, q.GetRelayed(), func(req uint64) core.Input {
		return core.RequestQuota{RequestID: req, From: q.GetFrom(), Team: q.GetTeam(), Whole: shareOf(q.GetWhole()), Share: shareOf(q.GetShare())}
	}, func(ctx context.Context, leader grpc.ClientConnInterface) (*operatorpb.AllowanceReply, error) {
		q.Relayed = true
		return operatorpb.NewRegionsClient(leader).Ask(ctx, q)
	}, allowanceReply)
}

// Deliver implements the service.
func (r *regions) Deliver(ctx context.Context, q *operatorpb.AllowanceDelivery) (*operatorpb.AllowanceReply, error) {
	return handle(ctx, r.server, q.GetRelayed(), func(req uint64) core.Input {
		return core.DeliverQuota{RequestID: req, Team: q.GetTeam(), Whole: shareOf(q.GetWhole()),
			Transfer: quota.Transfer{From: q.GetFrom(), To: q.GetTo(), Number: q.GetNumber(), Share: shareOf(q.GetShare())}}
	}, func(ctx context.Context, leader grpc.ClientConnInterface) (*operatorpb.AllowanceReply, error) {
		q.Relayed = true
		return operatorpb.NewRegionsClient(leader).Deliver(ctx, q)
	}, allowanceReply)
}

func allowanceReply(core.Response) (*operatorpb.AllowanceReply, error) {
	return &operatorpb.AllowanceReply{}, nil
}

// CallRegion sends a message to a controller of another region and says what became of it.
func CallRegion(ctx context.Context, conn grpc.ClientConnInterface, e core.CallRegion) outcome.Outcome {
	client := operatorpb.NewRegionsClient(conn)
	var err error
	switch {
	case e.Request != nil:
		_, err = client.Ask(ctx, &operatorpb.AllowanceAsk{From: e.Request.From, Team: e.Request.Team, Whole: shareProto(e.Request.Whole), Share: shareProto(e.Request.Share)})
	case e.Deliver != nil:
		t := e.Deliver.Transfer
		_, err = client.Deliver(ctx, &operatorpb.AllowanceDelivery{From: t.From, To: t.To, Team: e.Deliver.Team, Number: t.Number,
			Whole: shareProto(e.Deliver.Whole), Share: shareProto(t.Share)})
	}
	if err != nil {
		return outcome.Unknown
	}
	return outcome.OK
}

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
