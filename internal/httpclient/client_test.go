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

// An unknown outcome is never taken for a refusal or a success.
func TestOutcomes(t *testing.T) {
	var next atomic.Value // the response of the service
	type reply struct {
		status int
		body   string
	}
	end := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a := next.Load().(reply)
		if a.status == 0 {
			<-end // no response
			return
		}
		w.WriteHeader(a.status)
		_, _ = w.Write([]byte(a.body))
	}))
	defer s.Close()
	defer close(end)
	c := New(s.Listener.Addr().String(), 1000, 2, 100)
	do := func(c *Client) outcome.Outcome {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		var out struct{ X int }
		return c.Do(ctx, "POST", "/x", struct{}{}, &out)
	}
	for _, x := range []struct {
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
		next.Store(reply{x.status, x.body})
		if got := do(c); got != x.want {
			t.Errorf("%d %.10q: %v, not %v", x.status, x.body, got, x.want)
		}
	}
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	if got := do(New(l.Addr().String(), 1000, 2, 100)); got != outcome.Unavailable {
		t.Errorf("a connection that never stood: %v", got)
	}
	slow := New(s.Listener.Addr().String(), 1, 2, 100)
	next.Store(reply{200, `{}`})
	if a, b := do(slow), do(slow); a != outcome.OK || b != outcome.Dropped {
		t.Errorf("over the rate: %v, %v", a, b)
	}
}
