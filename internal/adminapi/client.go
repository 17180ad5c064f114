package adminapi

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"bitternwing/internal/adminapi/operatorpb"
)

// ErrNotFound says that there is no plan of the name, or no job of the id.
var ErrNotFound = errors.New("not found")

// InvalidError says which field of a plan is wrong.
type InvalidError struct{ Problem string }

func (e *InvalidError) Error() string { return e.Problem }

// RefusedError says why a plan can't be taken or changed.
type RefusedError struct{ Reason string }

func (e *RefusedError) Error() string { return "refused: " + e.Reason }

// UnavailableError says that no controller could answer in time. A change may have been made.
type UnavailableError struct{ Reason string }

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("no answer in time: %s; ask again in %v", e.Reason, retryInterval)
}

// retryInterval is the time between two tries.
const retryInterval = time.Second

// Client asks controllers about rollouts.
type Client struct {
	conn       *grpc.ClientConn
	rpc        operatorpb.RolloutsClient
	placements operatorpb.PlacementsClient
}

// NewClient makes a client of a controller's internal address.
func NewClient(address string) (*Client, error) {
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(unlimitedReplySize))
	if err != nil {
		return nil, err
	}
	return &Client{conn: conn, rpc: operatorpb.NewRolloutsClient(conn), placements: operatorpb.NewPlacementsClient(conn)}, nil
}

// Close ends the connection.
func (c *Client) Close() error { return c.conn.Close() }

// Apply hands in a plan.
func (c *Client) Apply(ctx context.Context, plan []byte) (*operatorpb.PlanStatus, error) {
	return retry(ctx, func(ctx context.Context) (*operatorpb.PlanStatus, error) {
		return c.rpc.Apply(ctx, &operatorpb.ApplyRequest{Plan: plan})
	})
}

// Change pauses, resumes or aborts a plan.
func (c *Client) Change(ctx context.Context, name string, change operatorpb.ChangeRequest_Change) (*operatorpb.PlanStatus, error) {
	return retry(ctx, func(ctx context.Context) (*operatorpb.PlanStatus, error) {
		return c.rpc.Change(ctx, &operatorpb.ChangeRequest{Name: name, Change: change})
	})
}

// Show tells how a plan stands.
func (c *Client) Show(ctx context.Context, name string) (*operatorpb.PlanStatus, error) {
	return retry(ctx, func(ctx context.Context) (*operatorpb.PlanStatus, error) {
		return c.rpc.Show(ctx, &operatorpb.ShowRequest{Name: name})
	})
}

// Placements tells where the replicas of a job are, and what each place cost.
func (c *Client) Placements(ctx context.Context, job string) (*operatorpb.PlacementReply, error) {
	return retry(ctx, func(ctx context.Context) (*operatorpb.PlacementReply, error) {
		return c.placements.Show(ctx, &operatorpb.PlacementRequest{Job: job})
	})
}

// Route asks for a routing, once: a router goes on with what it has.
func (c *Client) Route(ctx context.Context, q *operatorpb.RouteRequest) (*operatorpb.RouteReply, error) {
	return c.rpc.Route(ctx, q)
}

// retry asks until there is an answer or the context ends, and at least once.
func retry[Reply any](ctx context.Context, ask func(context.Context) (*Reply, error)) (*Reply, error) {
	for {
		once, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout+retryInterval)
		reply, err := ask(once)
		cancel()
		err = errorOf(err)
		var unavailable *UnavailableError
		if !errors.As(err, &unavailable) {
			return reply, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(retryInterval):
		}
	}
}

// finalErrors are the errors for the status codes that no retry changes.
var finalErrors = map[codes.Code]func(message string) error{
	codes.NotFound:           func(string) error { return ErrNotFound },
	codes.InvalidArgument:    func(message string) error { return &InvalidError{message} },
	codes.FailedPrecondition: func(message string) error { return &RefusedError{message} },
	codes.Unimplemented:      func(message string) error { return &RefusedError{message} },
}

// errorOf gives the error for a status of gRPC.
func errorOf(err error) error {
	if err == nil {
		return nil
	}
	s := status.Convert(err)
	if final, ok := finalErrors[s.Code()]; ok {
		return final(s.Message())
	}
	return &UnavailableError{s.Message()}
}
