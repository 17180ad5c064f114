package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"bitternwing/internal/wire"
	"bitternwing/review/_cases-2/lab"
)

func init() { cases["stale_submission"] = staleSubmission }

// slowState is a proxy before the state service. It passes each request on at once. While on, each answer takes the
// usual time longer, and the answer to a transaction that writes the key takes the hold longer, if there is one.
func slowState(l *lab.Lab, target, key string, usual time.Duration, on *atomic.Bool, hold *atomic.Int64) string {
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: target})
	proxy.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		l.Fail("proxy: %v", err)
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !on.Load() {
			proxy.ServeHTTP(w, r)
			return
		}
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		delay := usual
		held := time.Duration(hold.Load())
		if held > 0 && r.URL.Path == "/txn" && writes(body, key) {
			delay = held
			l.Log("state service: transaction with %s arrives and is carried out", key)
		}
		answer := &heldWriter{header: http.Header{}}
		proxy.ServeHTTP(answer, r)
		time.Sleep(delay)
		for name, values := range answer.header {
			w.Header()[name] = values
		}
		w.WriteHeader(answer.status)
		_, _ = w.Write(answer.body.Bytes())
		if delay == held {
			l.Log("state service: its answer (%d) is sent, %v later", answer.status, held)
		}
	})
	go func() { _ = (&http.Server{Handler: handler}).Serve(listener) }()
	return listener.Addr().String()
}

type heldWriter struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (w *heldWriter) Header() http.Header         { return w.header }
func (w *heldWriter) WriteHeader(status int)      { w.status = status }
func (w *heldWriter) Write(p []byte) (int, error) { return w.body.Write(p) }

// writes reports whether a transaction puts a key.
func writes(body []byte, key string) bool {
	var txn struct {
		Apply []struct {
			Put string `json:"put"`
		} `json:"apply"`
	}
	if json.Unmarshal(body, &txn) != nil {
		return false
	}
	for _, op := range txn.Apply {
		if strings.HasSuffix(op.Put, key) {
			return true
		}
	}
	return false
}

// staleSubmission: a submission's transaction is carried out and its answer is slow; meanwhile the user's connection
// fails, another controller accepts the repeat and confirms the cancellation; then the submission is repeated at the first.
func staleSubmission(folder string) {
	const id = "run-000412"
	const usual, hold = 45 * time.Millisecond, 1400 * time.Millisecond
	l := lab.New(lab.PosFleet(), folder)
	var slow atomic.Bool
	holds := map[string]*atomic.Int64{}
	l.StateVia = func(c *lab.Controller, direct string) string {
		holds[c.Name] = &atomic.Int64{}
		return slowState(l, direct, id, usual, &slow, holds[c.Name])
	}
	l.Start(0)
	leader := l.AwaitLeader(10 * time.Second)
	time.Sleep(3 * time.Second)
	var followers []*lab.Controller
	for _, c := range l.Controllers {
		if c != leader {
			followers = append(followers, c)
		}
	}
	first, second := followers[0], leader
	job := lab.Batch(id, "riskdesk-00", 1, 1, 60)
	body := l.Submission(job)
	if l.Trouble {
		l.Log("state service: each answer takes %v longer from now on", usual)
		slow.Store(true)
		time.Sleep(2 * time.Second)
		holds[first.Name].Store(int64(hold))
	}

	// The first attempt. Its connection is reset 50 ms later; without the trouble the answer has come by then.
	l.Log("user -> %s: POST %s %s", first.Name, wire.JobsPath, id)
	connection, err := net.Dial("tcp4", first.Public)
	if err != nil {
		l.Fail("connection: %v", err)
	}
	request, _ := http.NewRequest("POST", "http://"+first.Public+wire.JobsPath, bytes.NewReader(body))
	_ = request.Write(connection)
	time.Sleep(50 * time.Millisecond)
	_ = connection.(*net.TCPConn).SetLinger(0)
	_ = connection.Close()
	l.Log("user: the connection to %s is reset", first.Name)

	time.Sleep(time.Second) // retried after 1 s
	if a := l.Ask("user", second, "POST", wire.JobsPath, body, 5*time.Second); a.Status != 200 && a.Status != 201 {
		l.Fail("the repeat at %s is not accepted: %s", second.Name, a)
	}
	told := l.Ask("user", second, "POST", wire.JobsPath+"/"+id+wire.CancelSuffix, nil, 5*time.Second)
	if told.Status != 200 || told.State != "withdrawn" {
		l.Fail("the cancellation is not confirmed at once: %s", told)
	}
	again := l.Ask("user", first, "POST", wire.JobsPath, body, 5*time.Second)
	after := l.Ask("user", first, "GET", wire.JobsPath+"/"+id, nil, 2*time.Second)
	if again.Status == 0 {
		l.Fail("no answer to the repeat")
	}
	older := func(a lab.Answer) bool {
		return (a.Status == 200 || a.Status == 201) && a.State != "withdrawn"
	}
	l.Verdict(older(again) || older(after) || after.Status == 404, "told %q at %.3f s; asked %s at %.3f s: %s; then %s",
		told.State, told.At.Seconds(), first.Name, again.AskedAt.Seconds(), again, after)
}
