package adminapi

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"bitternwing/internal/adminapi/operatorpb"
	"bitternwing/internal/core"
	"bitternwing/internal/responsecheck"
	"bitternwing/internal/rollout"
)

// parsePlan parses a plan and compiles its checks.
func parsePlan(data []byte) (*rollout.Plan, error) {
	plan, err := rollout.ParsePlan(data, MaxPlanBytes)
	if err != nil {
		return nil, err
	}
	return plan, CompileChecks(plan)
}

// CompileChecks returns an error for the first check of a plan that does not compile.
func CompileChecks(plan *rollout.Plan) error {
	for i, check := range plan.Checks {
		if _, err := responsecheck.Compile(check.Script); err != nil {
			return rollout.ScriptError(i, err)
		}
	}
	return nil
}

// Apply implements operatorpb.RolloutsServer.
func (s *Server) Apply(ctx context.Context, request *operatorpb.ApplyRequest) (*operatorpb.PlanStatus, error) {
	plan, err := parsePlan(request.GetPlan())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return handle(ctx, s, relayableRequest[*operatorpb.PlanStatus]{
		relayed: request.GetRelayed(),
		input: func(requestID uint64) core.Input {
			return core.ApplyPlan{RequestID: requestID, Plan: plan}
		},
		relay: func(ctx context.Context, leader grpc.ClientConnInterface) (*operatorpb.PlanStatus, error) {
			relayed := &operatorpb.ApplyRequest{Plan: request.GetPlan(), Relayed: true}
			return operatorpb.NewRolloutsClient(leader).Apply(ctx, relayed, allowLargeReplies)
		},
		convert: planStatus,
	})
}

// changesByCode maps the enum values of a request to the changes of a plan.
var changesByCode = map[operatorpb.ChangeRequest_Change]rollout.Change{
	operatorpb.ChangeRequest_PAUSE:  rollout.Pause,
	operatorpb.ChangeRequest_RESUME: rollout.Resume,
	operatorpb.ChangeRequest_ABORT:  rollout.Abort,
}

// Change implements operatorpb.RolloutsServer.
func (s *Server) Change(ctx context.Context, request *operatorpb.ChangeRequest) (*operatorpb.PlanStatus, error) {
	change, ok := changesByCode[request.GetChange()]
	if !ok {
		return nil, status.Error(codes.InvalidArgument, "change: is not known")
	}
	return handle(ctx, s, relayableRequest[*operatorpb.PlanStatus]{
		relayed: request.GetRelayed(),
		input: func(requestID uint64) core.Input {
			return core.ChangePlan{RequestID: requestID, Name: request.GetName(), Change: change}
		},
		relay: func(ctx context.Context, leader grpc.ClientConnInterface) (*operatorpb.PlanStatus, error) {
			relayed := &operatorpb.ChangeRequest{Name: request.GetName(), Change: request.GetChange(), Relayed: true}
			return operatorpb.NewRolloutsClient(leader).Change(ctx, relayed, allowLargeReplies)
		},
		convert: planStatus,
	})
}

// Show implements operatorpb.RolloutsServer.
func (s *Server) Show(ctx context.Context, request *operatorpb.ShowRequest) (*operatorpb.PlanStatus, error) {
	return handle(ctx, s, relayableRequest[*operatorpb.PlanStatus]{
		relayed: request.GetRelayed(),
		input: func(requestID uint64) core.Input {
			return core.GetPlan{RequestID: requestID, Name: request.GetName()}
		},
		relay: func(ctx context.Context, leader grpc.ClientConnInterface) (*operatorpb.PlanStatus, error) {
			relayed := &operatorpb.ShowRequest{Name: request.GetName(), Relayed: true}
			return operatorpb.NewRolloutsClient(leader).Show(ctx, relayed, allowLargeReplies)
		},
		convert: planStatus,
	})
}

// maxRouterNameBytes bounds the names of routers, because they are stored in the plan's record.
const maxRouterNameBytes = 100

// Route implements operatorpb.RolloutsServer.
func (s *Server) Route(ctx context.Context, request *operatorpb.RouteRequest) (*operatorpb.RouteReply, error) {
	if request.GetRouter() == "" {
		return nil, status.Error(codes.InvalidArgument, "router: is missing")
	}
	if len(request.GetRouter()) > maxRouterNameBytes {
		return nil, status.Errorf(codes.InvalidArgument, "router: has more than %d bytes", maxRouterNameBytes)
	}
	generation := rollout.Generation{Term: request.GetGeneration().GetTerm(), Revision: request.GetGeneration().GetRevision()}
	return handle(ctx, s, relayableRequest[*operatorpb.RouteReply]{
		relayed: request.GetRelayed(),
		input: func(requestID uint64) core.Input {
			return core.GetRouting{RequestID: requestID, Name: request.GetPlan(), Router: request.GetRouter(), Generation: generation}
		},
		relay: func(ctx context.Context, leader grpc.ClientConnInterface) (*operatorpb.RouteReply, error) {
			relayed := &operatorpb.RouteRequest{Plan: request.GetPlan(), Router: request.GetRouter(), Generation: request.GetGeneration(), Relayed: true}
			return operatorpb.NewRolloutsClient(leader).Route(ctx, relayed, allowLargeReplies)
		},
		convert: routeReply,
	})
}
