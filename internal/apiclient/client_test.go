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

// respondInTurn serves one response after the other, and repeats the last.
func respondInTurn(t *testing.T, list ...func(http.ResponseWriter)) *Client {
	t.Helper()
	served := 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		list[min(served, len(list)-1)](w)
		served++
	}))
	t.Cleanup(s.Close)
	return New(s.Listener.Addr().String())
}

func status(code int, body string) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		w.WriteHeader(code)
		_, _ = w.Write([]byte(body))
	}
}

const runningJob = `{"ref":"run-000412","status":"running","done":3,"running":13}`

// Requests that are not available now are retried; all other errors are returned at once.
func TestResponses(t *testing.T) {
	busy := status(503, `{"error":"can't be confirmed now"}`)
	state, err := respondInTurn(t, busy, status(200, runningJob)).Show(context.Background(), "run-000412")
	if err != nil || state.Status != wire.JobRunning || *state.Done != 3 {
		t.Errorf("%+v, %v", state, err)
	}
	_, err = respondInTurn(t, status(404, `{"error":"no such job"}`)).Show(context.Background(), "run-000412")
	if !errors.Is(err, ErrNotFound) {
		t.Errorf("404 gives %v", err)
	}
	var refused *RefusedError
	_, err = respondInTurn(t, status(422, `{"error":"the job can never run here"}`)).Submit(context.Background(), []byte("{}"))
	if !errors.As(err, &refused) || refused.Status != 422 || !strings.Contains(err.Error(), "never run") {
		t.Errorf("422 gives %v", err)
	}
	_, err = respondInTurn(t, status(400, `<html>`)).Submit(context.Background(), []byte("{}"))
	if !errors.As(err, &refused) || refused.Reason != "no reason given" {
		t.Errorf("400 gives %v", err)
	}
}

// Calls to an address that nobody serves, and to one that never has a final response, end with the context.
func TestUnavailable(t *testing.T) {
	soon, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	var unavailable *UnavailableError
	for _, c := range []*Client{New("127.0.0.1:1"), respondInTurn(t, status(503, "")), respondInTurn(t, status(200, "no JSON"))} {
		if _, err := c.Cancel(soon, "run-000412"); !errors.As(err, &unavailable) {
			t.Errorf("%v", err)
		}
	}
}
