package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sort"
	"strings"
	"sync"
	"time"

	"bitternwing/internal/wire"
)

// Worker is a worker of the protocol: it reports to one node at a time, obeys the
// answers, and kills what it has when its lease runs out. Tasks of an array are
// done after a few reports.
type Worker struct {
	cloud            *Cloud
	name, kind, zone string
	spot             bool
	cancel           context.CancelFunc
	addr             string
	direct           *httptest.Server

	mu      sync.Mutex
	session uint64
	seq     uint64
	token   uint64
	tasks   map[string]*wire.TaskReport
	ticks   map[string]int
}

func newWorker(c *Cloud, name, kind, zone string, spot bool) *Worker {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Worker{cloud: c, name: name, kind: kind, zone: zone, spot: spot, cancel: cancel, session: 1,
		tasks: map[string]*wire.TaskReport{}, ticks: map[string]int{}}
	w.direct = httptest.NewServer(http.HandlerFunc(w.orders))
	w.addr = w.direct.Listener.Addr().String()
	go w.run(ctx)
	return w
}

func (w *Worker) stop() {
	w.cancel()
	w.direct.CloseClientConnections()
	w.direct.Close()
}

// orders carries out direct commands.
func (w *Worker) orders(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/inspect" {
		body, _ := w.report()
		answer(rw, 200, json.RawMessage(body))
		return
	}
	var o wire.Orders
	if r.URL.Path != "/orders" || json.NewDecoder(r.Body).Decode(&o) != nil {
		answer(rw, 400, nil)
		return
	}
	w.mu.Lock()
	status := 409
	if o.Token >= w.token && o.Session == w.session {
		status = 200
		w.token = o.Token
		w.execute(o.Commands)
	}
	w.mu.Unlock()
	body, _ := w.report()
	answer(rw, status, json.RawMessage(body))
}

func (w *Worker) running(job string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for name, t := range w.tasks {
		if strings.HasPrefix(name, job+"/") && t.State == wire.TaskRunning {
			n++
		}
	}
	return n
}

func (w *Worker) run(ctx context.Context) {
	client := &http.Client{Timeout: 4 * w.cloud.fast}
	answered := time.Now()
	at := 0
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(w.cloud.fast):
		}
		if time.Since(answered) > w.cloud.lease {
			w.mu.Lock()
			w.session++
			w.tasks, w.ticks = map[string]*wire.TaskReport{}, map[string]int{}
			w.mu.Unlock()
			answered = time.Now()
		}
		names, addrs := w.cloud.addrs()
		if len(names) == 0 {
			continue
		}
		at %= len(names)
		sent := time.Now()
		body, session := w.report()
		req, err := http.NewRequestWithContext(ctx, "POST", "http://"+addrs[names[at]]+"/checkin", bytes.NewReader(body))
		if err != nil {
			return
		}
		resp, err := client.Do(req)
		if err != nil {
			at++
			continue
		}
		switch resp.StatusCode {
		case 200:
			var a wire.ReportAnswer
			if json.NewDecoder(resp.Body).Decode(&a) == nil && w.obey(a, session) {
				answered = sent
			}
		case 421:
			var to wire.Redirect
			_ = json.NewDecoder(resp.Body).Decode(&to) // without a body it tries the next node
			next := at + 1
			for i, n := range names {
				if n == to.Leader && i != at {
					next = i
				}
			}
			at = next
		default:
			at++
		}
		_ = resp.Body.Close()
	}
}

// report moves the tasks on and gives the next report.
func (w *Worker) report() ([]byte, uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	r := wire.Report{Machine: w.name, Addr: w.addr, Type: w.kind, Zone: w.zone, Spot: w.spot,
		Session: w.session, Seq: w.seq, Token: w.token, Tasks: []wire.TaskReport{}}
	var names []string
	for n := range w.tasks {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		t := w.tasks[n]
		w.ticks[n]++
		switch {
		case t.State == wire.TaskFetching && w.ticks[n] > 1:
			t.State = wire.TaskRunning
		case t.State == wire.TaskRunning && w.ticks[n] > 6 && w.cloud.ends(n):
			t.State, t.Why = wire.TaskExited, wire.WhyDone
		}
		r.Tasks = append(r.Tasks, *t)
	}
	b, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	return b, w.session
}

// ends tells whether a task comes to an end by itself: those of jobs with an even
// last digit do.
func (c *Cloud) ends(task string) bool {
	job, _, _ := wire.ParseTask(task)
	return (job[len(job)-1]-'0')%2 == 0
}

func (w *Worker) obey(a wire.ReportAnswer, session uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if a.Token < w.token || session != w.session {
		return false
	}
	w.token = a.Token
	w.execute(a.Commands)
	return true
}

func (w *Worker) execute(commands []wire.Command) {
	for _, c := range commands {
		t := w.tasks[c.Task]
		switch c.Op {
		case wire.OpStart:
			if t != nil && t.Attempt == c.Attempt {
				continue
			}
			w.tasks[c.Task] = &wire.TaskReport{Task: c.Task, Attempt: c.Attempt, State: wire.TaskFetching}
			w.ticks[c.Task] = 0
			w.cloud.starts(w.name, c.Task, c.Attempt)
		case wire.OpStop:
			if t != nil && t.Attempt == c.Attempt && t.State != wire.TaskExited {
				t.State, t.Why = wire.TaskExited, wire.WhyStopped
			}
		case wire.OpForget:
			if t != nil && t.Attempt == c.Attempt && t.State == wire.TaskExited {
				delete(w.tasks, c.Task)
			}
		}
	}
}
