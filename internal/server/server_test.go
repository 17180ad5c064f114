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

type fixedCore struct{}

func (fixedCore) Handle(context.Context, func(uint64) core.Input) (core.Response, bool) {
	return core.Response{Status: 200, Body: struct{}{}}, true
}
func (fixedCore) Healthy() bool { return true }

// connectionCloses makes a request and tells whether the server closes the connection with its response.
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

// TestUsersLeaveRoomForWorkers has users keep as many connections as they can. Those beyond
// their share are closed with the response, and workers still find free connections.
func TestUsersLeaveRoomForWorkers(t *testing.T) {
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(fixedCore{}, 9, nil)
	go func() { _ = s.Serve(l) }()
	defer func() { _ = s.Close() }()
	url := "http://" + l.Addr().String()
	closes := func(method, path, body string) bool {
		t.Helper()
		// A client of its own: each keeps its connection.
		return connectionCloses(t, &http.Client{Transport: &http.Transport{}}, method, url+path, body)
	}
	closed := 0
	for i := 0; i < 20; i++ {
		if closes(http.MethodGet, "/v2/runs/run-000001", "") {
			closed++
		}
	}
	if closed != 17 {
		t.Errorf("%d connections of users were closed, not 17 of 20", closed)
	}
	for i := 0; i < 6; i++ {
		if closes(http.MethodPost, wire.HeartbeatPath, `{"host":"h","shift":1,"tally":1}`) {
			t.Error("a worker's connection was closed")
		}
	}
}

// TestMoreWorkersThanSockets has more workers, each of which keeps its connection, than the server has sockets.
// All of them are answered, again and again.
func TestMoreWorkersThanSockets(t *testing.T) {
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(fixedCore{}, 20, nil)
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
		t.Errorf("%d connections were closed, of %d", closed, 3*len(workers))
	}
}
