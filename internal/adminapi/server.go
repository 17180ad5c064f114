// Package adminapi is the gRPC service of rollouts on a controller's internal address, and its client.
package adminapi

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"bitternwing/internal/adminapi/operatorpb"
	"bitternwing/internal/core"
	"bitternwing/internal/responsecheck"
	"bitternwing/internal/rollout"
	"bitternwing/internal/wire"
)

// Core answers requests; it is the one of server.Core.
type Core interface {
	Handle(ctx context.Context, input func(req uint64) core.Input) (core.Response, bool)
}

// requestTimeout is how long a request waits for its answer here.
const requestTimeout = 3 * time.Second

// MaxPlanBytes bounds a plan as it is handed in. What is stored has to fit into a value of the state service too.
const MaxPlanBytes = 32 << 10

// unlimitedReplySize lets the leader's answer be as long as the plan's replicas make it; what they are is bounded by the team's limit.
var unlimitedReplySize = grpc.MaxCallRecvMsgSize(64 << 20)

// Server implements the service.
type Server struct {
	operatorpb.UnimplementedRolloutsServer
	core Core
	// peer gives the connection to another controller; nil where there is none of the name.
	peer func(node string) grpc.ClientConnInterface
}

// Register registers the services of a node.
func Register(to grpc.ServiceRegistrar, c Core, peer func(node string) grpc.ClientConnInterface) {
	server := &Server{core: c, peer: peer}
	operatorpb.RegisterRolloutsServer(to, server)
	operatorpb.RegisterPlacementsServer(to, &placements{server: server})
	operatorpb.RegisterRegionsServer(to, &regions{server: server})
}

// handle has the core answer, or the leader where the core names it; a request that was handed on goes no further.
func handle[Reply any](ctx context.Context, s *Server, relayed bool, input func(uint64) core.Input,
	relay func(context.Context, grpc.ClientConnInterface) (Reply, error), convert func(core.Response) (Reply, error)) (Reply, error) {
	var none Reply
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	a, ok := s.core.Handle(ctx, input)
	if !ok {
		return none, status.Error(codes.Unavailable, "no answer in time")
	}
	if a.Status == 200 {
		return convert(a)
	}
	if to, isRedirect := a.Body.(wire.Redirect); isRedirect {
		if leader := s.peer(to.Leader); leader != nil && !relayed {
			return relay(ctx, leader)
		}
		return none, status.Error(codes.Unavailable, "no controller leads")
	}
	return none, statusError(a)
}

// statusError gives the error for an answer that is not 200.
func statusError(a core.Response) error {
	why := "no reason is given"
	if body, ok := a.Body.(wire.ErrorBody); ok {
		why = body.Error
	}
	switch a.Status {
	case 404:
		return status.Error(codes.NotFound, why)
	case 422:
		return status.Error(codes.FailedPrecondition, why)
	case 429:
		return status.Error(codes.ResourceExhausted, why)
	}
	return status.Error(codes.Unavailable, why)
}

// parsePlan reads a plan and compiles its checks.
func parsePlan(data []byte) (*rollout.Plan, error) {
	plan, err := rollout.ParsePlan(data, MaxPlanBytes)
	if err != nil {
		return nil, err
	}
	return plan, CompileChecks(plan)
}

// CompileChecks tells which of a plan's checks does not compile.
func CompileChecks(plan *rollout.Plan) error {
	for i, check := range plan.Checks {
		if _, err := responsecheck.Compile(check.Script); err != nil {
			return rollout.CheckError(i, err)
		}
	}
	return nil
}

// Apply implements the service.
func (s *Server) Apply(ctx context.Context, q *operatorpb.ApplyRequest) (*operatorpb.PlanStatus, error) {
	plan, err := parsePlan(q.GetPlan())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return handle(ctx, s, q.GetRelayed(), func(req uint64) core.Input { return core.ApplyPlan{RequestID: req, Plan: plan} },
		func(ctx context.Context, leader grpc.ClientConnInterface) (*operatorpb.PlanStatus, error) {
			return operatorpb.NewRolloutsClient(leader).Apply(ctx, &operatorpb.ApplyRequest{Plan: q.GetPlan(), Relayed: true}, unlimitedReplySize)
		}, planStatus)
}

// changes gives the meaning of a change on the wire.
var changes = map[operatorpb.ChangeRequest_Change]rollout.Change{
	operatorpb.ChangeRequest_PAUSE:  rollout.Pause,
	operatorpb.ChangeRequest_RESUME: rollout.Resume,
	operatorpb.ChangeRequest_ABORT:  rollout.Abort,
}

// Change implements the service.
func (s *Server) Change(ctx context.Context, q *operatorpb.ChangeRequest) (*operatorpb.PlanStatus, error) {
	change, ok := changes[q.GetChange()]
	if !ok {
		return nil, status.Error(codes.InvalidArgument, "change: is not known")
	}
	return handle(ctx, s, q.GetRelayed(), func(req uint64) core.Input { return core.ChangePlan{RequestID: req, Name: q.GetName(), Change: change} },
		func(ctx context.Context, leader grpc.ClientConnInterface) (*operatorpb.PlanStatus, error) {
			return operatorpb.NewRolloutsClient(leader).Change(ctx, &operatorpb.ChangeRequest{Name: q.GetName(), Change: q.GetChange(), Relayed: true}, unlimitedReplySize)
		}, planStatus)
}

// Show implements the service.
func (s *Server) Show(ctx context.Context, q *operatorpb.ShowRequest) (*operatorpb.PlanStatus, error) {
	return handle(ctx, s, q.GetRelayed(), func(req uint64) core.Input { return core.GetPlan{RequestID: req, Name: q.GetName()} },
		func(ctx context.Context, leader grpc.ClientConnInterface) (*operatorpb.PlanStatus, error) {
			return operatorpb.NewRolloutsClient(leader).Show(ctx, &operatorpb.ShowRequest{Name: q.GetName(), Relayed: true}, unlimitedReplySize)
		}, planStatus)
}

// maxRouterNameBytes bounds the names of routers, in bytes: they are kept in the plan's record.
const maxRouterNameBytes = 100

// Route implements the service.
func (s *Server) Route(ctx context.Context, q *operatorpb.RouteRequest) (*operatorpb.RouteReply, error) {
	if q.GetRouter() == "" {
		return nil, status.Error(codes.InvalidArgument, "router: is missing")
	}
	if len(q.GetRouter()) > maxRouterNameBytes {
		return nil, status.Errorf(codes.InvalidArgument, "router: has more than %d bytes", maxRouterNameBytes)
	}
	generation := rollout.Generation{Term: q.GetGeneration().GetTerm(), Revision: q.GetGeneration().GetRevision()}
	return handle(ctx, s, q.GetRelayed(),
		func(req uint64) core.Input {
			return core.GetRouting{RequestID: req, Name: q.GetPlan(), Router: q.GetRouter(), Generation: generation}
		},
		func(ctx context.Context, leader grpc.ClientConnInterface) (*operatorpb.RouteReply, error) {
			return operatorpb.NewRolloutsClient(leader).Route(ctx, &operatorpb.RouteRequest{Plan: q.GetPlan(), Router: q.GetRouter(), Generation: q.GetGeneration(), Relayed: true}, unlimitedReplySize)
		}, routeReply)
}

// errUnexpectedResponse says that the core gave an answer of another kind.
var errUnexpectedResponse = errors.New("an answer of an unexpected kind")

// planStatus gives a plan's status on the wire.
func planStatus(a core.Response) (*operatorpb.PlanStatus, error) {
	s, ok := a.Body.(core.PlanStatus)
	if !ok {
		return nil, errUnexpectedResponse
	}
	reply := &operatorpb.PlanStatus{Problem: s.Problem, Settled: s.Reconciled, OldCapacity: s.Capacity.Old, NewCapacity: s.Capacity.New,
		PromisedCapacity: s.Capacity.Promised, Generation: generationProto(s.Routing.Generation), Routers: s.Routers}
	if r := s.Record; r != nil {
		reply.Name, reply.Phase, reply.Step, reply.Steps = r.Plan.Name, string(r.Phase), int32(r.Step+1), int32(len(r.Plan.Steps))
		reply.SinceMs, reply.Paused, reply.Reason, reply.Detail = r.SinceMS, r.PausedMS != 0, string(r.Reason), r.Detail
	}
	shares := map[string]float64{}
	for _, w := range s.Routing.Weights {
		shares[w.Task] = w.Share
		if w.Version == rollout.NewVersion {
			reply.NewShare += w.Share
		}
	}
	for _, x := range s.Replicas {
		reply.Replicas = append(reply.Replicas, &operatorpb.Replica{Task: x.Replica.Task, Attempt: x.Replica.Attempt,
			Version: string(x.Replica.Version), Proved: x.Validated, Verdict: x.Verdict.String(), Check: x.Check, Share: shares[x.Replica.Task]})
	}
	return reply, nil
}

// routeReply gives a routing on the wire.
func routeReply(a core.Response) (*operatorpb.RouteReply, error) {
	g, ok := a.Body.(core.RoutingGrant)
	if !ok {
		return nil, errUnexpectedResponse
	}
	return &operatorpb.RouteReply{Generation: generationProto(g.Routing.Generation), Weights: weightsProto(g.Routing.Weights),
		Fallback: weightsProto(g.Routing.Fallback), LeaseMs: g.LeaseMS}, nil
}

func generationProto(g rollout.Generation) *operatorpb.Generation {
	return &operatorpb.Generation{Term: g.Term, Revision: g.Revision}
}

func weightsProto(ws []rollout.Weight) []*operatorpb.Weight {
	var all []*operatorpb.Weight
	for _, w := range ws {
		all = append(all, &operatorpb.Weight{Task: w.Task, Attempt: w.Attempt, Address: w.Address, Version: string(w.Version), Share: w.Share})
	}
	return all
}
