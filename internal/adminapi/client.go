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

// ErrNotFound is returned if there is no plan with the name, or no job with the ID.
var ErrNotFound = errors.New("not found")

// InvalidError is returned for a malformed request. Its text names the field.
type InvalidError struct{ Problem string }

// Error implements error.
func (e *InvalidError) Error() string { return e.Problem }

// RefusedError is returned if a plan can't be accepted or changed.
type RefusedError struct{ Reason string }

// Error implements error.
func (e *RefusedError) Error() string { return "refused: " + e.Reason }

// UnavailableError is returned if no controller responded in time. A change may have been applied.
type UnavailableError struct{ Reason string }

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("no answer in time: %s; ask again in %v", e.Reason, retryInterval)
}

// retryInterval is the delay between attempts.
const retryInterval = time.Second

// Client calls the internal address of a controller.
type Client struct {
	connection *grpc.ClientConn
	rollouts   operatorpb.RolloutsClient
	placements operatorpb.PlacementsClient
}

// NewClient returns a client for the internal address of a controller, of the form host:port.
func NewClient(controllerAddr string) (*Client, error) {
	connection, err := grpc.NewClient("passthrough:///"+controllerAddr, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(allowLargeReplies))
	if err != nil {
		return nil, err
	}
	return &Client{
		connection: connection,
		rollouts:   operatorpb.NewRolloutsClient(connection),
		placements: operatorpb.NewPlacementsClient(connection),
	}, nil
}

// Close closes the connection.
func (c *Client) Close() error { return c.connection.Close() }

// Apply submits a plan. It is idempotent: submitting the same plan again changes nothing.
func (c *Client) Apply(ctx context.Context, plan []byte) (*operatorpb.PlanStatus, error) {
	return retry(ctx, func(ctx context.Context) (*operatorpb.PlanStatus, error) {
		return c.rollouts.Apply(ctx, &operatorpb.ApplyRequest{Plan: plan})
	})
}

// Change pauses, resumes or aborts a plan.
func (c *Client) Change(ctx context.Context, name string, change operatorpb.ChangeRequest_Change) (*operatorpb.PlanStatus, error) {
	return retry(ctx, func(ctx context.Context) (*operatorpb.PlanStatus, error) {
		return c.rollouts.Change(ctx, &operatorpb.ChangeRequest{Name: name, Change: change})
	})
}

// Show returns the status of a plan.
func (c *Client) Show(ctx context.Context, name string) (*operatorpb.PlanStatus, error) {
	return retry(ctx, func(ctx context.Context) (*operatorpb.PlanStatus, error) {
		return c.rollouts.Show(ctx, &operatorpb.ShowRequest{Name: name})
	})
}

// Placements returns the placements of a job's replicas and their costs.
func (c *Client) Placements(ctx context.Context, job string) (*operatorpb.PlacementReply, error) {
	return retry(ctx, func(ctx context.Context) (*operatorpb.PlacementReply, error) {
		return c.placements.Show(ctx, &operatorpb.PlacementRequest{Job: job})
	})
}

// Route requests the current routing. It does not retry: a router that gets no reply keeps its last routing.
func (c *Client) Route(ctx context.Context, request *operatorpb.RouteRequest) (*operatorpb.RouteReply, error) {
	return c.rollouts.Route(ctx, request)
}

// retry repeats a call until it gets a reply or a permanent error, or the context ends. It calls at least once, and the
// end of the context does not cancel a running attempt.
func retry[Reply any](ctx context.Context, call func(context.Context) (*Reply, error)) (*Reply, error) {
	for {
		attemptCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout+retryInterval)
		reply, err := call(attemptCtx)
		cancel()
		err = errorFromStatus(err)
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

// permanentErrors has a constructor for the error of each status code that is not retried.
var permanentErrors = map[codes.Code]func(message string) error{
	codes.NotFound:           func(string) error { return ErrNotFound },
	codes.InvalidArgument:    func(message string) error { return &InvalidError{message} },
	codes.FailedPrecondition: func(message string) error { return &RefusedError{message} },
	codes.Unimplemented:      func(message string) error { return &RefusedError{message} },
}

// errorFromStatus converts a gRPC status error to an error of this package.
func errorFromStatus(err error) error {
	if err == nil {
		return nil
	}
	s := status.Convert(err)
	if permanentError, ok := permanentErrors[s.Code()]; ok {
		return permanentError(s.Message())
	}
	return &UnavailableError{s.Message()}
}
