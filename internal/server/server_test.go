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

type fixed struct{}

func (fixed) Ask(context.Context, func(uint64) core.Input) (core.Response, bool) {
	return core.Response{Status: 200, Body: struct{}{}}, true
}
func (fixed) Healthy() bool { return true }

// TestUsersLeaveRoomForWorkers has users keep as many connections as they can. Those beyond
// their share are closed with the answer, and workers still find room.
func TestUsersLeaveRoomForWorkers(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(fixed{}, 9, nil)
	go func() { _ = s.Serve(l) }()
	defer func() { _ = s.Close() }()
	url := "http://" + l.Addr().String()
	do := func(method, path, body string) *http.Response {
		t.Helper()
		// A client of its own: each keeps its connection.
		c := &http.Client{Transport: &http.Transport{}}
		req, err := http.NewRequest(method, url+path, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		r, err := c.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_ = r.Body.Close()
		return r
	}
	closed := 0
	for i := 0; i < 20; i++ {
		if do("GET", "/v2/runs/run-000001", "").Close {
			closed++
		}
	}
	if closed != 17 {
		t.Errorf("%d connections of users were closed, not 17 of 20", closed)
	}
	for i := 0; i < 6; i++ {
		if do("POST", "/checkin", `{"host":"h","shift":1,"tally":1}`).Close {
			t.Error("a worker's connection was closed")
		}
	}
}

// TestMoreWorkersThanSockets has more workers, each of which keeps its connection, than the server has sockets.
// All of them are answered, again and again.
func TestMoreWorkersThanSockets(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(fixed{}, 20, nil)
	go func() { _ = s.Serve(l) }()
	defer func() { _ = s.Close() }()
	workers := make([]*http.Client, 40)
	for i := range workers {
		workers[i] = &http.Client{Transport: &http.Transport{}, Timeout: 20 * time.Second}
	}
	closed := 0
	for range 3 {
		for i, worker := range workers {
			r, err := worker.Post("http://"+l.Addr().String()+wire.HeartbeatPath, "application/json", strings.NewReader(`{"host":"h","shift":1,"tally":1}`))
			if err != nil {
				t.Fatalf("worker %d: %v", i, err)
			}
			if r.Close {
				closed++
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_ = r.Body.Close()
		}
	}
	if closed == 0 || closed == 3*len(workers) {
		t.Errorf("%d connections were closed, of %d", closed, 3*len(workers))
	}
}
