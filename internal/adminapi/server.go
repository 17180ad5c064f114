// Package adminapi implements the gRPC API on a controller's internal address, and a client for it. Operators and
// routers use it for rollouts and placements, and other regions for quota transfers. Any controller accepts a request;
// one that is not the leader relays the request to the leader. A request is relayed at most once. The package only
// converts messages: the core makes all decisions.
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

// Core handles requests, as server.Core does.
type Core interface {
	// Handle passes the input for a new request ID to the core, and waits for the response. It returns false if the
	// context ends before the response.
	Handle(ctx context.Context, input func(requestID uint64) core.Input) (core.Response, bool)
}

// requestTimeout is how long a request waits for the response of the core or the leader.
const requestTimeout = 3 * time.Second

// MaxPlanBytes is the maximum size of a submitted plan. The stored record must also fit into a value of the key-value
// store, which is checked separately.
const MaxPlanBytes = 32 << 10

// allowLargeReplies raises gRPC's limit on the size of a reply: a reply grows with the number of replicas, which only
// the team's quota bounds.
var allowLargeReplies = grpc.MaxCallRecvMsgSize(64 << 20)

// Server implements the Rollouts service, and handles the requests of the other services.
type Server struct {
	operatorpb.UnimplementedRolloutsServer
	core Core
	// peer returns the connection to another controller, or nil if there is no controller with that name.
	peer func(node string) grpc.ClientConnInterface
}

// Register registers all services with a gRPC server.
func Register(registrar grpc.ServiceRegistrar, handler Core, peer func(node string) grpc.ClientConnInterface) {
	server := &Server{core: handler, peer: peer}
	operatorpb.RegisterRolloutsServer(registrar, server)
	operatorpb.RegisterPlacementsServer(registrar, &placementsServer{server: server})
	operatorpb.RegisterRegionsServer(registrar, &regionsServer{server: server})
}

// relayableRequest is a request that the local core handles, or that is relayed to the leader.
type relayableRequest[Reply any] struct {
	// relayed reports whether another controller relayed the request. Such a request is not relayed again.
	relayed bool
	// input returns the core's input for the request.
	input func(requestID uint64) core.Input
	// relay sends the request to the leader.
	relay func(ctx context.Context, leader grpc.ClientConnInterface) (Reply, error)
	// convert converts the core's response to a reply message.
	convert func(core.Response) (Reply, error)
}

// handle passes a request to the core. If the core redirects it to the leader, handle relays it to the leader.
func handle[Reply any](ctx context.Context, server *Server, request relayableRequest[Reply]) (Reply, error) {
	var zero Reply
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	response, ok := server.core.Handle(ctx, request.input)
	if !ok {
		return zero, status.Error(codes.Unavailable, "no answer in time")
	}
	if response.Status == http.StatusOK {
		return request.convert(response)
	}
	redirect, isRedirect := response.Body.(wire.Redirect)
	if !isRedirect {
		return zero, statusError(response)
	}
	leader := server.peer(redirect.Leader)
	if leader == nil || request.relayed {
		return zero, status.Error(codes.Unavailable, "no controller leads")
	}
	return request.relay(ctx, leader)
}

// statusError converts an error response of the core to a gRPC status error.
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

// errUnexpectedResponseBody is returned if the body of the core's response has an unexpected type.
var errUnexpectedResponseBody = errors.New("an answer of an unexpected kind")
