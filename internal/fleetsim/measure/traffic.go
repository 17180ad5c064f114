// Package measure counts messages, samples the resource usage of processes and keeps histograms for a fleet simulation.
package measure

import (
	"sync"

	"bitternwing/internal/simworker"
)

// The kinds of messages that are not from or to workers. Requests to the key-value store and the cloud have kinds of
// their own, which consist of the service, method and resource.
const (
	KindPeer   simworker.MessageKind = "peer"
	KindSubmit simworker.MessageKind = "submit"
	KindPoll   simworker.MessageKind = "poll"
	KindCancel simworker.MessageKind = "cancel"
)

// Count is a number of messages and the bytes of their bodies, as received and sent by the controller.
type Count struct {
	Messages int64 `json:"messages"`
	Received int64 `json:"received_bytes"`
	Sent     int64 `json:"sent_bytes"`
}

// Traffic counts messages by controller and kind.
type Traffic struct {
	mu     sync.Mutex
	counts map[string]map[simworker.MessageKind]Count
}

// NewTraffic returns an empty count.
func NewTraffic() *Traffic { return &Traffic{counts: map[string]map[simworker.MessageKind]Count{}} }

// Count counts a message and its response, with the bytes that the controller received and sent.
func (t *Traffic) Count(controller string, kind simworker.MessageKind, received, sent int) {
	t.add(controller, kind, Count{1, int64(received), int64(sent)})
}

// CountBytes counts bytes of a stream without counting its messages.
func (t *Traffic) CountBytes(controller string, kind simworker.MessageKind, received, sent int) {
	t.add(controller, kind, Count{0, int64(received), int64(sent)})
}

func (t *Traffic) add(controller string, kind simworker.MessageKind, added Count) {
	t.mu.Lock()
	defer t.mu.Unlock()
	kinds := t.counts[controller]
	if kinds == nil {
		kinds = map[simworker.MessageKind]Count{}
		t.counts[controller] = kinds
	}
	sum := kinds[kind]
	sum.Messages += added.Messages
	sum.Received += added.Received
	sum.Sent += added.Sent
	kinds[kind] = sum
}

// ByKind returns a copy of a controller's counts by kind.
func (t *Traffic) ByKind(controller string) map[simworker.MessageKind]Count {
	t.mu.Lock()
	defer t.mu.Unlock()
	kinds := map[simworker.MessageKind]Count{}
	for k, c := range t.counts[controller] {
		kinds[k] = c
	}
	return kinds
}
