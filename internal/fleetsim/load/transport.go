package load

import (
	"io"
	"net/http"
	"strings"

	"bitternwing/internal/fleetsim/measure"
	"bitternwing/internal/simworker"
	"bitternwing/internal/wire"
)

// countingTransport counts requests and responses by controller and kind.
type countingTransport struct {
	traffic Traffic
	names   map[string]string // names of the controllers by address
	next    http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	resp.Body = &countingBody{ReadCloser: resp.Body, onClose: func(sent int) {
		t.traffic.Count(t.names[r.URL.Host], kindOf(r), int(max(0, r.ContentLength)), sent)
	}}
	return resp, nil
}

// kindOf returns the kind of a user's request.
func kindOf(r *http.Request) simworker.MessageKind {
	switch {
	case r.Method == http.MethodGet:
		return measure.KindPoll
	case strings.HasSuffix(r.URL.Path, wire.CancelSuffix):
		return measure.KindCancel
	}
	return measure.KindSubmit
}

// countingBody counts the bytes read from a response, and passes the number to onClose when it is closed.
type countingBody struct {
	io.ReadCloser
	bytes   int
	onClose func(bytes int)
}

func (b *countingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.bytes += n
	return n, err
}

func (b *countingBody) Close() error {
	if b.onClose != nil {
		b.onClose(b.bytes)
		b.onClose = nil
	}
	return b.ReadCloser.Close()
}
