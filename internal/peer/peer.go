// Package peer implements the gRPC service between controller nodes: each queries the status of the others and
// replicates cancellations to them. The package only converts messages to and from the types of the core.
package peer

import (
	"context"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"bitternwing/internal/core"
	"bitternwing/internal/membership"
	"bitternwing/internal/outcome"
	"bitternwing/internal/peer/peerpb"
)

// maxMessageBytes limits the size of a message, and maxStreams the number of concurrent streams on a connection.
const (
	maxMessageBytes = 64 << 10
	maxStreams      = 16
)

// socketBufferBytes is the size of the read and write buffers of a connection. They are small because messages are
// small and a node has many connections.
const socketBufferBytes = 4 << 10

// flowControlWindowBytes is the flow-control window of streams and connections. It has room for a complete message. A
// fixed window also disables gRPC's bandwidth estimation, which sends a ping for each message.
const flowControlWindowBytes = 2 * maxMessageBytes

// Reconnection backoff of a client.
const (
	// baseDelayDivisor divides the call timeout into the first delay.
	baseDelayDivisor  = 4
	backoffMultiplier = 1.5
	backoffJitter     = 0.2
)

// noHeartbeatAge is the heartbeat age that is sent if no heartbeat has been received.
const noHeartbeatAge = -1

// Server serves the status of a node.
type Server struct {
	peerpb.UnimplementedPeerServer
	node                 string
	receiveCancellations func(context.Context, []core.Cancellation) bool
	status               func() membership.Status
	grpc                 *grpc.Server
}

// NewServer returns a server that passes on received cancellations and responds with the status. receiveCancellations
// returns false if it does not accept them.
func NewServer(node string, receiveCancellations func(context.Context, []core.Cancellation) bool, status func() membership.Status) *Server {
	s := &Server{node: node, receiveCancellations: receiveCancellations, status: status, grpc: grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxConcurrentStreams(maxStreams),
		grpc.ReadBufferSize(socketBufferBytes), grpc.WriteBufferSize(socketBufferBytes),
		grpc.InitialWindowSize(flowControlWindowBytes), grpc.InitialConnWindowSize(flowControlWindowBytes))}
	peerpb.RegisterPeerServer(s.grpc, s)
	return s
}

// Registrar returns the registrar for other services on the node's internal address. They must be registered before
// Serve.
func (s *Server) Registrar() grpc.ServiceRegistrar { return s.grpc }

// Serve accepts connections on the listener until Stop is called.
func (s *Server) Serve(listener net.Listener) error { return s.grpc.Serve(listener) }

// Stop closes all connections and stops the server.
func (s *Server) Stop() { s.grpc.Stop() }

// Status implements peerpb.PeerServer.
func (s *Server) Status(ctx context.Context, request *peerpb.StatusRequest) (*peerpb.StatusReply, error) {
	// The response acknowledges the cancellations, so it must not be sent unless they were accepted.
	if cancellations := decodeCancellations(request.GetCancellations()); len(cancellations) > 0 && !s.receiveCancellations(ctx, cancellations) {
		return nil, status.Error(codes.Unavailable, "not taken in")
	}
	return s.statusResponse(s.status()), nil
}

// statusResponse converts the status to a message.
func (s *Server) statusResponse(current membership.Status) *peerpb.StatusReply {
	age := int64(noHeartbeatAge)
	if current.HeartbeatAge >= 0 {
		age = current.HeartbeatAge.Milliseconds()
	}
	return &peerpb.StatusReply{
		Node:          s.node,
		StateDown:     current.StoreDown,
		Term:          current.Term,
		Leads:         current.Leading,
		ReportAgeMs:   age,
		ZonesApart:    current.UnreachableZones,
		Revision:      current.Revision,
		Unsettled:     current.UnresolvedCancellations,
		UnsettledMore: current.MoreUnresolved,
		Layouts:       current.MaxRecordLayout,
		KnowsPlans:    current.SupportsRollouts,
	}
}

func decodeCancellations(messages []*peerpb.Cancellation) []core.Cancellation {
	cancellations := make([]core.Cancellation, len(messages))
	for i, message := range messages {
		cancellations[i] = core.Cancellation{Job: message.GetJob(), Value: message.GetValue(), Version: message.GetVersion()}
	}
	return cancellations
}

func encodeCancellations(cancellations []core.Cancellation) []*peerpb.Cancellation {
	var messages []*peerpb.Cancellation
	for _, c := range cancellations {
		messages = append(messages, &peerpb.Cancellation{Job: c.Job, Value: c.Value, Version: c.Version})
	}
	return messages
}

// Client is a client of one other node.
type Client struct {
	self       string
	connection *grpc.ClientConn
	rpc        peerpb.PeerClient
}

// NewClient returns a client of the node at an address. It connects on the first call.
func NewClient(self, addr string, callTimeout time.Duration) (*Client, error) {
	connection, err := grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithReadBufferSize(socketBufferBytes), grpc.WithWriteBufferSize(socketBufferBytes),
		grpc.WithInitialWindowSize(flowControlWindowBytes), grpc.WithInitialConnWindowSize(flowControlWindowBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay:  callTimeout / baseDelayDivisor,
				Multiplier: backoffMultiplier,
				Jitter:     backoffJitter,
				MaxDelay:   callTimeout,
			},
			MinConnectTimeout: callTimeout,
		}))
	if err != nil {
		return nil, err
	}
	return &Client{self: self, connection: connection, rpc: peerpb.NewPeerClient(connection)}, nil
}

// Conn returns the connection, for clients of other services on the node's internal address.
func (c *Client) Conn() grpc.ClientConnInterface { return c.connection }

// Close closes the connection.
func (c *Client) Close() error { return c.connection.Close() }

// Status queries the node's status and replicates cancellations to it.
func (c *Client) Status(ctx context.Context, cancellations []core.Cancellation) (membership.Status, outcome.Outcome) {
	response, err := c.rpc.Status(ctx, &peerpb.StatusRequest{Node: c.self, Cancellations: encodeCancellations(cancellations)})
	if err != nil {
		return membership.Status{}, outcome.Unknown
	}
	current := membership.Status{
		StoreDown:               response.GetStateDown(),
		Term:                    response.GetTerm(),
		Leading:                 response.GetLeads(),
		HeartbeatAge:            noHeartbeatAge,
		UnreachableZones:        response.GetZonesApart(),
		Revision:                response.GetRevision(),
		UnresolvedCancellations: response.GetUnsettled(),
		MoreUnresolved:          response.GetUnsettledMore(),
		MaxRecordLayout:         response.GetLayouts(),
		SupportsRollouts:        response.GetKnowsPlans(),
	}
	if response.GetReportAgeMs() >= 0 {
		current.HeartbeatAge = time.Duration(response.GetReportAgeMs()) * time.Millisecond
	}
	return current, outcome.OK
}
