// Package simmodelserver simulates the model servers on the workers' machines, for tests and fleet simulations. It
// serves completion requests for the tasks that run there, and gives wrong responses on demand. It runs no model: the
// completion of a prompt is the prompt in upper case.
package simmodelserver

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"bitternwing/internal/probe"
	"bitternwing/internal/wire"
)

// Machines knows which tasks run on which machines.
type Machines interface {
	// Serves reports whether a task runs on the machine with an address.
	Serves(host, task string) bool
}

// Server serves all simulated machines. Each has its own loopback address, and all share a port.
type Server struct {
	machines Machines
	listener net.Listener
	http     *http.Server

	mu       sync.Mutex
	wrong    func(task string, request int64) bool
	requests atomic.Int64
}

// Completion is the response to a completion request.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Choices []Choice `json:"choices"`
}

// Choice is one completion of a prompt.
type Choice struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
}

// Request is a completion request.
type Request struct {
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
}

// New starts a server for machines on a listener. It runs until Close.
func New(listener net.Listener, machines Machines) *Server {
	s := &Server{machines: machines, listener: listener}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.http.Serve(listener) }() // ends with Close
	return s
}

// Port returns the port of all machines.
func (s *Server) Port() int { return s.listener.Addr().(*net.TCPAddr).Port }

// Close closes the server.
func (s *Server) Close() { _ = s.http.Close() }

// SetWrongResponses sets the function that selects the requests with a wrong response, by task and number of the
// request. Nil selects none.
func (s *Server) SetWrongResponses(wrong func(task string, request int64) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wrong = wrong
}

// ExpectedText returns the correct completion of a prompt.
func ExpectedText(prompt string) string { return strings.ToUpper(prompt) }

// WrongText returns the completion of a prompt in a wrong response.
func WrongText(prompt string) string { return "?" + ExpectedText(prompt) }

// serve handles health checks and completion requests for a task.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	local, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if !ok {
		http.Error(w, "no address", http.StatusInternalServerError)
		return
	}
	host, _, _ := net.SplitHostPort(local.String())
	path := strings.TrimPrefix(r.URL.Path, "/")
	task, health := strings.CutSuffix(path, probe.HealthPath)
	task, completions := strings.CutSuffix(task, probe.CompletionsPath)
	if _, _, isTask := wire.ParseTaskName(task); !isTask || !s.machines.Serves(host, task) {
		http.Error(w, "no such task here", http.StatusNotFound)
		return
	}
	switch {
	case health:
		w.WriteHeader(http.StatusOK)
	case completions:
		s.complete(w, r, task)
	default:
		http.Error(w, "no such path", http.StatusNotFound)
	}
}

// complete responds to a completion request.
func (s *Server) complete(w http.ResponseWriter, r *http.Request, task string) {
	var request Request
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, wire.MaxBodyBytes)).Decode(&request); err != nil {
		http.Error(w, "no request", http.StatusBadRequest)
		return
	}
	number := s.requests.Add(1)
	text := ExpectedText(request.Prompt)
	if s.respondsWrongly(task, number) {
		text = WrongText(request.Prompt)
	}
	completion := Completion{ID: "cmpl-" + strconv.FormatInt(number, 10), Object: "text_completion", Choices: []Choice{{Text: text}}}
	data, err := json.Marshal(completion)
	if err != nil {
		http.Error(w, "internal", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data) // the client may have closed the connection
}

// respondsWrongly reports whether a task gives a wrong response to a request.
func (s *Server) respondsWrongly(task string, request int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.wrong != nil && s.wrong(task, request)
}
