// Package peer is what controller nodes ask of each other, over gRPC.
package peer

import (
	"context"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"bitternwing/internal/call"
	"bitternwing/internal/core"
	"bitternwing/internal/peer/peerpb"
)

// maxMessage bounds a message between nodes.
const maxMessage = 64 << 10

// Server answers other nodes.
type Server struct {
	peerpb.UnimplementedPeerServer
	node   string
	status func() core.PeerStatus
	grpc   *grpc.Server
}

// NewServer makes a server that tells what status gives.
func NewServer(node string, status func() core.PeerStatus) *Server {
	s := &Server{node: node, status: status, grpc: grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessage), grpc.MaxConcurrentStreams(16),
		grpc.ReadBufferSize(4<<10), grpc.WriteBufferSize(4<<10))}
	peerpb.RegisterPeerServer(s.grpc, s)
	return s
}

// Serve answers on a listener until Stop.
func (s *Server) Serve(l net.Listener) error { return s.grpc.Serve(l) }

// Stop ends the server.
func (s *Server) Stop() { s.grpc.Stop() }

// Status implements the service.
func (s *Server) Status(context.Context, *peerpb.StatusRequest) (*peerpb.StatusReply, error) {
	st := s.status()
	age := int64(-1)
	if st.ReportAge >= 0 {
		age = st.ReportAge.Milliseconds()
	}
	return &peerpb.StatusReply{Node: s.node, StateDown: st.StateDown, Term: st.Term, Leads: st.Leads, ReportAgeMs: age, ZonesApart: st.ZonesApart}, nil
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
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: patience / 4, Multiplier: 1.5, Jitter: 0.2, MaxDelay: patience},
			MinConnectTimeout: patience,
		}))
	if err != nil {
		return nil, err
	}
	return &Client{self: self, conn: conn, rpc: peerpb.NewPeerClient(conn)}, nil
}

// Close ends the connection.
func (c *Client) Close() error { return c.conn.Close() }

// Status asks the node for its status.
func (c *Client) Status(ctx context.Context) (core.PeerStatus, call.Outcome) {
	r, err := c.rpc.Status(ctx, &peerpb.StatusRequest{Node: c.self})
	if err != nil {
		return core.PeerStatus{}, call.Unknown
	}
	st := core.PeerStatus{StateDown: r.GetStateDown(), Term: r.GetTerm(), Leads: r.GetLeads(), ReportAge: -1, ZonesApart: r.GetZonesApart()}
	if r.GetReportAgeMs() >= 0 {
		st.ReportAge = time.Duration(r.GetReportAgeMs()) * time.Millisecond
	}
	return st, call.OK
}
