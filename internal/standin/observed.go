package standin

import (
	"net"
	"net/http"
)

// observedWriter counts the bytes of a response's body.
type observedWriter struct {
	http.ResponseWriter
	sent int
}

func (w *observedWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.sent += n
	return n, err
}

// serveObserved serves a listener, and tells of each request and the sizes of its bodies.
func serveObserved(l net.Listener, client string, observe Observe, handle http.HandlerFunc) *http.Server {
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		counted := &observedWriter{ResponseWriter: w}
		handle(counted, r)
		observe(client, r.Method, r.URL.Path, int(max(0, r.ContentLength)), counted.sent)
	})}
	go func() { _ = server.Serve(l) }() // ends with Close
	return server
}
