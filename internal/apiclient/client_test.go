package apiclient

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"bitternwing/internal/wire"
)

// newTestClient returns a client of a server that sends the responses in order, and repeats the last one.
func newTestClient(t *testing.T, responses ...func(http.ResponseWriter)) *Client {
	t.Helper()
	served := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		responses[min(served, len(responses)-1)](w)
		served++
	}))
	t.Cleanup(server.Close)
	return New(server.Listener.Addr().String())
}

func respondWith(code int, body string) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		w.WriteHeader(code)
		_, _ = w.Write([]byte(body))
	}
}

const runningJob = `{"ref":"run-000412","status":"running","done":3,"running":13}`

// TestResponses checks that requests that get status 503 are retried, and that statuses 400, 404 and 422 are returned as
// errors at once.
func TestResponses(t *testing.T) {
	unavailable := respondWith(503, `{"error":"can't be confirmed now"}`)
	state, err := newTestClient(t, unavailable, respondWith(200, runningJob)).Show(context.Background(), "run-000412")
	if err != nil || state.Status != wire.JobRunning || *state.Done != 3 {
		t.Errorf("%+v, %v", state, err)
	}
	_, err = newTestClient(t, respondWith(404, `{"error":"no such job"}`)).Show(context.Background(), "run-000412")
	if !errors.Is(err, ErrNotFound) {
		t.Errorf("404 gives %v", err)
	}
	var refused *RefusedError
	_, err = newTestClient(t, respondWith(422, `{"error":"the job can never run here"}`)).Submit(context.Background(), []byte("{}"))
	if !errors.As(err, &refused) || refused.Status != 422 || !strings.Contains(err.Error(), "never run") {
		t.Errorf("422 gives %v", err)
	}
	_, err = newTestClient(t, respondWith(400, `<html>`)).Submit(context.Background(), []byte("{}"))
	if !errors.As(err, &refused) || refused.Reason != "no reason given" {
		t.Errorf("400 gives %v", err)
	}
}

// The context ends the retries if nothing listens at the address, or if the server never sends a final response.
func TestUnavailable(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	var unavailable *UnavailableError
	for _, c := range []*Client{New("127.0.0.1:1"), newTestClient(t, respondWith(503, "")), newTestClient(t, respondWith(200, "no JSON"))} {
		if _, err := c.Cancel(ctx, "run-000412"); !errors.As(err, &unavailable) {
			t.Errorf("%v", err)
		}
	}
}
