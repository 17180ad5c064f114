package server

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"bitternwing/internal/core"
)

type fixed struct{}

func (fixed) Ask(context.Context, func(uint64) core.Input) (core.Answer, bool) {
	return core.Answer{Status: 200, Body: struct{}{}}, true
}
func (fixed) Healthy() bool { return true }

// TestUsersLeaveRoomForWorkers has users keep as many connections as they can. Those beyond
// their share are closed with the answer, and workers still find room.
func TestUsersLeaveRoomForWorkers(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(fixed{}, 9)
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
