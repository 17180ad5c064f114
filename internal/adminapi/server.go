// Package adminapi is the gRPC interface on a controller's internal address for operators, routers and other regions: rollouts,
// placements and quota transfers, with its client. Any controller takes a request; where another one leads, the request is
// relayed to it, once. The package converts messages and decides nothing.
package adminapi

import (
	"context"
	"errors"
	"net/http"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"bitternwing/internal/adminapi/operatorpb"
	"bitternwing/internal/core"
	"bitternwing/internal/wire"
)

// Core handles requests; it is the one of server.Core.
type Core interface {
	// Handle hands over the input that belongs to a request id, and waits for the response. It returns false if there is
	// none before the context ends.
	Handle(ctx context.Context, input func(requestID uint64) core.Input) (core.Response, bool)
}

// requestTimeout is how long a request waits for the core's response.
const requestTimeout = 3 * time.Second

// MaxPlanBytes bounds a submitted plan. What is stored has to fit into a value of the key-value store too.
const MaxPlanBytes = 32 << 10

// largeReplies lets the leader's reply be as long as the plan's replicas make it; how many there are is bounded by the team's
// quota.
var largeReplies = grpc.MaxCallRecvMsgSize(64 << 20)

// Server implements the services.
type Server struct {
	operatorpb.UnimplementedRolloutsServer
	core Core
	// peer gives the connection to another controller; nil where there is none of the name.
	peer func(node string) grpc.ClientConnInterface
}

// Register registers the services of a node.
func Register(registrar grpc.ServiceRegistrar, c Core, peer func(node string) grpc.ClientConnInterface) {
	server := &Server{core: c, peer: peer}
	operatorpb.RegisterRolloutsServer(registrar, server)
	operatorpb.RegisterPlacementsServer(registrar, &placements{server: server})
	operatorpb.RegisterRegionsServer(registrar, &regions{server: server})
}

// relayable is a request as all services handle it.
type relayable[Reply any] struct {
	relayed bool // by another controller: it is not relayed again
	input   func(requestID uint64) core.Input
	// relay sends the request to the leader.
	relay func(ctx context.Context, leader grpc.ClientConnInterface) (Reply, error)
	// convert gives the reply for a response of the core.
	convert func(core.Response) (Reply, error)
}

// handle has the core handle a request, or the leader where the core names it.
func handle[Reply any](ctx context.Context, server *Server, request relayable[Reply]) (Reply, error) {
	var none Reply
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	response, ok := server.core.Handle(ctx, request.input)
	if !ok {
		return none, status.Error(codes.Unavailable, "no answer in time")
	}
	if response.Status == http.StatusOK {
		return request.convert(response)
	}
	redirect, isRedirect := response.Body.(wire.Redirect)
	if !isRedirect {
		return none, statusError(response)
	}
	leader := server.peer(redirect.Leader)
	if leader == nil || request.relayed {
		return none, status.Error(codes.Unavailable, "no controller leads")
	}
	return request.relay(ctx, leader)
}

// statusError gives the error for a response that is no success.
func statusError(response core.Response) error {
	reason := "no reason is given"
	if body, ok := response.Body.(wire.ErrorBody); ok {
		reason = body.Error
	}
	switch response.Status {
	case http.StatusNotFound:
		return status.Error(codes.NotFound, reason)
	case http.StatusUnprocessableEntity:
		return status.Error(codes.FailedPrecondition, reason)
	case http.StatusTooManyRequests:
		return status.Error(codes.ResourceExhausted, reason)
	}
	return status.Error(codes.Unavailable, reason)
}

// errUnexpectedResponse says that the core gave a response of another kind.
var errUnexpectedResponse = errors.New("an answer of an unexpected kind")
