package server

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"bitternwing/internal/core"
	"bitternwing/internal/wire"
)

// stubCore is a core that responds to every request with 200.
type stubCore struct{}

func (stubCore) Handle(context.Context, func(uint64) core.Input) (core.Response, bool) {
	return core.Response{Status: 200, Body: struct{}{}}, true
}
func (stubCore) Healthy() bool { return true }

// connectionCloses sends a request and reports whether the server closes the connection after the response.
func connectionCloses(t *testing.T, client *http.Client, method, url, body string) bool {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.Close
}

// TestUserConnectionLimit opens more user connections than the users' share, each kept alive by its client. The server
// must close those beyond the share after the response, so that workers still find free connections.
func TestUserConnectionLimit(t *testing.T) {
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(stubCore{}, 9, nil)
	go func() { _ = s.Serve(l) }()
	defer func() { _ = s.Close() }()
	url := "http://" + l.Addr().String()
	closes := func(method, path, body string) bool {
		t.Helper()
		// A new client opens a new connection and keeps it alive.
		return connectionCloses(t, &http.Client{Transport: &http.Transport{}}, method, url+path, body)
	}
	closed := 0
	for i := 0; i < 20; i++ {
		if closes(http.MethodGet, "/v2/runs/run-000001", "") {
			closed++
		}
	}
	if closed != 17 {
		t.Errorf("%d of 20 user connections were closed, want 17", closed)
	}
	for i := 0; i < 6; i++ {
		if closes(http.MethodPost, wire.HeartbeatPath, `{"host":"h","shift":1,"tally":1}`) {
			t.Error("a worker's connection was closed")
		}
	}
}

// TestMoreWorkersThanConnections has more workers, each of which keeps its connection alive, than the server accepts
// connections. Every worker must get a response in each of several rounds. The server may close only some connections.
func TestMoreWorkersThanConnections(t *testing.T) {
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(stubCore{}, 20, nil)
	go func() { _ = s.Serve(l) }()
	defer func() { _ = s.Close() }()
	workers := make([]*http.Client, 40)
	for i := range workers {
		workers[i] = &http.Client{Transport: &http.Transport{}, Timeout: 20 * time.Second}
	}
	closed := 0
	for range 3 {
		for _, worker := range workers {
			if connectionCloses(t, worker, http.MethodPost, "http://"+l.Addr().String()+wire.HeartbeatPath, `{"host":"h","shift":1,"tally":1}`) {
				closed++
			}
		}
	}
	if closed == 0 || closed == 3*len(workers) {
		t.Errorf("%d of %d connections were closed, want some but not all", closed, 3*len(workers))
	}
}
