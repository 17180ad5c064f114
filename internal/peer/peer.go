// Package peer is what controller nodes ask of each other, over gRPC.
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

// maxMessageBytes bounds a message between nodes.
const maxMessageBytes = 64 << 10

// flowWindow is the flow-control window of streams and connections. It holds a whole message. A fixed window also
// keeps gRPC from measuring the connection, which it does with a ping for each message.
const flowWindow = 2 * maxMessageBytes

// Server answers other nodes.
type Server struct {
	peerpb.UnimplementedPeerServer
	node                 string
	receiveCancellations func(context.Context, []core.Cancellation) bool
	status               func() membership.Status
	grpc                 *grpc.Server
}

// NewServer makes a server that hands on the cancellations that it hears of and tells what
// status gives. heard is false where they could not be taken in.
func NewServer(node string, heard func(context.Context, []core.Cancellation) bool, status func() membership.Status) *Server {
	s := &Server{node: node, receiveCancellations: heard, status: status, grpc: grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxConcurrentStreams(16),
		grpc.ReadBufferSize(4<<10), grpc.WriteBufferSize(4<<10),
		grpc.InitialWindowSize(flowWindow), grpc.InitialConnWindowSize(flowWindow))}
	peerpb.RegisterPeerServer(s.grpc, s)
	return s
}

// Registrar is where other services of the node's internal address are registered, before Serve.
func (s *Server) Registrar() grpc.ServiceRegistrar { return s.grpc }

// Serve answers on a listener until Stop.
func (s *Server) Serve(l net.Listener) error { return s.grpc.Serve(l) }

// Stop ends the server.
func (s *Server) Stop() { s.grpc.Stop() }

// Status implements the service.
func (s *Server) Status(ctx context.Context, q *peerpb.StatusRequest) (*peerpb.StatusReply, error) {
	if cs := q.GetCancellations(); len(cs) > 0 {
		items := make([]core.Cancellation, len(cs))
		for i, x := range cs {
			items[i] = core.Cancellation{Job: x.GetJob(), Value: x.GetValue(), Version: x.GetVersion()}
		}
		// An answer says that they are known from now on.
		if !s.receiveCancellations(ctx, items) {
			return nil, status.Error(codes.Unavailable, "not taken in")
		}
	}
	st := s.status()
	age := int64(-1)
	if st.HeartbeatAge >= 0 {
		age = st.HeartbeatAge.Milliseconds()
	}
	return &peerpb.StatusReply{Node: s.node, StateDown: st.StoreDown, Term: st.Term, Leads: st.Leading, ReportAgeMs: age, ZonesApart: st.UnreachableZones,
		Revision: st.Revision, Unsettled: st.UnresolvedCancellations, UnsettledMore: st.MoreUnresolved, Layouts: st.RecordLayouts,
		KnowsPlans: st.SupportsRollouts}, nil
}

// Client asks one other node.
type Client struct {
	self string
	conn *grpc.ClientConn
	rpc  peerpb.PeerClient
}

// NewClient makes a client of the node at an address; it connects when asked.
func NewClient(self, addr string, patience time.Duration) (*Client, error) {
	conn, err := grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithReadBufferSize(4<<10), grpc.WithWriteBufferSize(4<<10),
		grpc.WithInitialWindowSize(flowWindow), grpc.WithInitialConnWindowSize(flowWindow),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: patience / 4, Multiplier: 1.5, Jitter: 0.2, MaxDelay: patience},
			MinConnectTimeout: patience,
		}))
	if err != nil {
		return nil, err
	}
	return &Client{self: self, conn: conn, rpc: peerpb.NewPeerClient(conn)}, nil
}

// Conn is the connection, for other services of the node's internal address.
func (c *Client) Conn() grpc.ClientConnInterface { return c.conn }

// Close ends the connection.
func (c *Client) Close() error { return c.conn.Close() }

// Status asks the node for its status and hands it cancellations.
func (c *Client) Status(ctx context.Context, items []core.Cancellation) (membership.Status, outcome.Outcome) {
	q := &peerpb.StatusRequest{Node: c.self}
	for _, it := range items {
		q.Cancellations = append(q.Cancellations, &peerpb.Cancellation{Job: it.Job, Value: it.Value, Version: it.Version})
	}
	r, err := c.rpc.Status(ctx, q)
	if err != nil {
		return membership.Status{}, outcome.Unknown
	}
	st := membership.Status{StoreDown: r.GetStateDown(), Term: r.GetTerm(), Leading: r.GetLeads(), HeartbeatAge: -1, UnreachableZones: r.GetZonesApart(),
		Revision: r.GetRevision(), UnresolvedCancellations: r.GetUnsettled(), MoreUnresolved: r.GetUnsettledMore(), RecordLayouts: r.GetLayouts(),
		SupportsRollouts: r.GetKnowsPlans()}
	if r.GetReportAgeMs() >= 0 {
		st.HeartbeatAge = time.Duration(r.GetReportAgeMs()) * time.Millisecond
	}
	return st, outcome.OK
}
