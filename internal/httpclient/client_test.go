package httpclient

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"bitternwing/internal/outcome"
)

// TestOutcomes checks that a request which may have been applied has an unknown outcome, never a refusal or a success.
func TestOutcomes(t *testing.T) {
	var nextReply atomic.Value // the service's next response
	type reply struct {
		status int // 0 if the service does not respond
		body   string
	}
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		current := nextReply.Load().(reply)
		if current.status == 0 {
			<-release // no response
			return
		}
		w.WriteHeader(current.status)
		_, _ = w.Write([]byte(current.body))
	}))
	defer server.Close()
	defer close(release)
	c := New(server.Listener.Addr().String(), 1000, 2, 100)
	do := func(c *Client) outcome.Outcome {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		var out struct{ X int }
		return c.Do(ctx, "POST", "/x", struct{}{}, &out)
	}
	for _, test := range []struct {
		status int
		body   string
		want   outcome.Outcome
	}{
		{200, `{"X":1}`, outcome.OK},
		{200, `{"X":`, outcome.Unknown},
		{200, `{"X":"` + string(make([]byte, 200)) + `"}`, outcome.TooLarge},
		{409, `{}`, outcome.Conflict},
		{404, `{}`, outcome.NotFound},
		{400, `{}`, outcome.Invalid},
		{410, `{}`, outcome.TooOld},
		{429, `{}`, outcome.Dropped},
		{503, `not JSON`, outcome.Unavailable},
		{500, `{}`, outcome.Unknown},
		{302, `{}`, outcome.Unknown},
		{0, ``, outcome.Unknown},
	} {
		nextReply.Store(reply{test.status, test.body})
		if got := do(c); got != test.want {
			t.Errorf("%d %.10q: %v, not %v", test.status, test.body, got, test.want)
		}
	}
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	if got := do(New(listener.Addr().String(), 1000, 2, 100)); got != outcome.Unavailable {
		t.Errorf("refused connection: %v, want Unavailable", got)
	}
	limited := New(server.Listener.Addr().String(), 1, 2, 100)
	nextReply.Store(reply{200, `{}`})
	if first, second := do(limited), do(limited); first != outcome.OK || second != outcome.Dropped {
		t.Errorf("two requests at a limit of 1/s: %v, %v, want OK, Dropped", first, second)
	}
}
