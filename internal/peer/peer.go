// Package peer is the gRPC service between controller nodes: each requests the status of the others, and replicates
// cancellations to them. It maps messages to the types of the core and decides nothing.
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

// maxMessageBytes bounds a message between nodes, and maxStreams how many a connection carries at a time.
const (
	maxMessageBytes = 64 << 10
	maxStreams      = 16
)

// socketBuffer is the size of the buffers of a connection: messages are small, and a node has many connections.
const socketBuffer = 4 << 10

// flowWindow is the flow-control window of streams and connections. It holds a whole message. A fixed window also
// keeps gRPC from measuring the connection, which it does with a ping for each message.
const flowWindow = 2 * maxMessageBytes

// The back-off of a client that can't connect: it begins with a part of the call timeout.
const (
	callTimeoutsPerFirstBackoff = 4
	backoffMultiplier           = 1.5
	backoffJitter               = 0.2
)

// noHeartbeat is the age of the last heartbeat on the wire if there was none.
const noHeartbeat = -1

// Server serves the status of a node.
type Server struct {
	peerpb.UnimplementedPeerServer
	node                 string
	receiveCancellations func(context.Context, []core.Cancellation) bool
	status               func() membership.Status
	grpc                 *grpc.Server
}

// NewServer makes a server that hands received cancellations on, and responds with the status. receiveCancellations is false
// if they were not accepted.
func NewServer(node string, receiveCancellations func(context.Context, []core.Cancellation) bool, status func() membership.Status) *Server {
	s := &Server{node: node, receiveCancellations: receiveCancellations, status: status, grpc: grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxConcurrentStreams(maxStreams),
		grpc.ReadBufferSize(socketBuffer), grpc.WriteBufferSize(socketBuffer),
		grpc.InitialWindowSize(flowWindow), grpc.InitialConnWindowSize(flowWindow))}
	peerpb.RegisterPeerServer(s.grpc, s)
	return s
}

// Registrar is where other services of the node's internal address are registered, before Serve.
func (s *Server) Registrar() grpc.ServiceRegistrar { return s.grpc }

// Serve serves a listener until Stop.
func (s *Server) Serve(listener net.Listener) error { return s.grpc.Serve(listener) }

// Stop ends the server.
func (s *Server) Stop() { s.grpc.Stop() }

// Status implements the service.
func (s *Server) Status(ctx context.Context, request *peerpb.StatusRequest) (*peerpb.StatusReply, error) {
	// A reply says that the cancellations are known from now on.
	if cancellations := fromMessages(request.GetCancellations()); len(cancellations) > 0 && !s.receiveCancellations(ctx, cancellations) {
		return nil, status.Error(codes.Unavailable, "not taken in")
	}
	return s.reply(s.status()), nil
}

// reply gives the status on the wire.
func (s *Server) reply(current membership.Status) *peerpb.StatusReply {
	age := int64(noHeartbeat)
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
		Layouts:       current.RecordLayouts,
		KnowsPlans:    current.SupportsRollouts,
	}
}

func fromMessages(messages []*peerpb.Cancellation) []core.Cancellation {
	cancellations := make([]core.Cancellation, len(messages))
	for i, message := range messages {
		cancellations[i] = core.Cancellation{Job: message.GetJob(), Value: message.GetValue(), Version: message.GetVersion()}
	}
	return cancellations
}

func toMessages(cancellations []core.Cancellation) []*peerpb.Cancellation {
	var messages []*peerpb.Cancellation
	for _, c := range cancellations {
		messages = append(messages, &peerpb.Cancellation{Job: c.Job, Value: c.Value, Version: c.Version})
	}
	return messages
}

// Client calls one other node.
type Client struct {
	self       string
	connection *grpc.ClientConn
	rpc        peerpb.PeerClient
}

// NewClient makes a client of the node at an address; it connects with the first call.
func NewClient(self, addr string, callTimeout time.Duration) (*Client, error) {
	connection, err := grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithReadBufferSize(socketBuffer), grpc.WithWriteBufferSize(socketBuffer),
		grpc.WithInitialWindowSize(flowWindow), grpc.WithInitialConnWindowSize(flowWindow),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay:  callTimeout / callTimeoutsPerFirstBackoff,
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

// Conn is the connection, for other services of the node's internal address.
func (c *Client) Conn() grpc.ClientConnInterface { return c.connection }

// Close ends the connection.
func (c *Client) Close() error { return c.connection.Close() }

// Status requests the node's status and replicates cancellations to it.
func (c *Client) Status(ctx context.Context, cancellations []core.Cancellation) (membership.Status, outcome.Outcome) {
	reply, err := c.rpc.Status(ctx, &peerpb.StatusRequest{Node: c.self, Cancellations: toMessages(cancellations)})
	if err != nil {
		return membership.Status{}, outcome.Unknown
	}
	current := membership.Status{
		StoreDown:               reply.GetStateDown(),
		Term:                    reply.GetTerm(),
		Leading:                 reply.GetLeads(),
		HeartbeatAge:            noHeartbeat,
		UnreachableZones:        reply.GetZonesApart(),
		Revision:                reply.GetRevision(),
		UnresolvedCancellations: reply.GetUnsettled(),
		MoreUnresolved:          reply.GetUnsettledMore(),
		RecordLayouts:           reply.GetLayouts(),
		SupportsRollouts:        reply.GetKnowsPlans(),
	}
	if reply.GetReportAgeMs() >= 0 {
		current.HeartbeatAge = time.Duration(reply.GetReportAgeMs()) * time.Millisecond
	}
	return current, outcome.OK
}
