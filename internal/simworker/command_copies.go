package simworker

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"sync/atomic"

	"bitternwing/internal/wire"
)

// maxCopiedCommands bounds the direct commands of which copies are kept for each worker.
const maxCopiedCommands = 12

// CopyCounts counts what became of the late copies of direct commands.
type CopyCounts struct {
	Refused  int64 `json:"refused"`   // because of the fencing token or the incarnation
	NoEffect int64 `json:"no_effect"` // the worker held all attempts
	Started  int64 `json:"started"`   // at least one attempt was started once more
}

// commandCopies repeats direct commands with starts to a worker that has executed and answered them, over the network.
// Between two messages from a controller a worker treats a copy in the same way whenever it arrives. So all copies are
// sent before and after each message, and when an incarnation begins.
type commandCopies struct {
	enabled                    atomic.Bool
	refused, noEffect, started atomic.Int64
}

// SetCommandCopies begins or ends a fault in which late copies of direct commands arrive at all workers.
func (f *Fleet) SetCommandCopies(enabled bool) { f.copies.enabled.Store(enabled) }

// CopyCounts returns what became of the copies so far.
func (f *Fleet) CopyCounts() CopyCounts {
	return CopyCounts{Refused: f.copies.refused.Load(), NoEffect: f.copies.noEffect.Load(), Started: f.copies.started.Load()}
}

// copyHeader marks a request as a copy, so that the worker does not copy it again. Its body is that of the original.
const copyHeader = "X-Copy"

// recordCommands keeps direct commands that the worker has executed, if they contain a start and are not kept already.
func (w *Worker) recordCommands(commands wire.DirectCommands, body []byte) {
	if slices.ContainsFunc(w.copiedBodies, func(kept []byte) bool { return bytes.Equal(kept, body) }) {
		return
	}
	for _, command := range commands.Commands {
		if command.Op == wire.OpStart {
			kept := append(w.copiedBodies, body)
			w.copiedBodies = kept[max(0, len(kept)-maxCopiedCommands):]
			return
		}
	}
}

// sendCopies sends copies of all recorded direct commands to the worker, while the fault lasts, and waits until the worker
// has handled them. A worker that has begun anew gets them only after its first response: until then nothing protects it.
func (w *Worker) sendCopies() {
	if !w.fleet.copies.enabled.Load() {
		return
	}
	w.mu.Lock()
	bodies, lost := w.copiedBodies, w.dead || w.unreachable || w.machine.fencingToken == 0
	w.mu.Unlock()
	if lost {
		return
	}
	for _, body := range bodies {
		w.sendCopy(body)
	}
}

// sendCopy sends a copy of direct commands to the worker's address and counts the outcome.
func (w *Worker) sendCopy(body []byte) {
	startsBefore := w.copiedStarts.Load()
	status := w.post(body)
	copies := &w.fleet.copies
	switch {
	case status == noResponse:
	case status != http.StatusOK:
		copies.refused.Add(1)
	case w.copiedStarts.Load() > startsBefore:
		copies.started.Add(1)
	default:
		copies.noEffect.Add(1)
	}
}

// noResponse is the status of a request to a worker that has ended or does not respond.
const noResponse = 0

// post sends direct commands to the worker's address, marked as a copy, and returns the status of the response.
func (w *Worker) post(body []byte) int {
	request, err := http.NewRequestWithContext(w.fleet.ctx, http.MethodPost, "http://"+w.machine.address+wire.CommandsPath, bytes.NewReader(body))
	if err != nil {
		return noResponse
	}
	request.Header.Set(copyHeader, "1")
	response, err := w.fleet.copyClient.Do(request)
	if err != nil {
		return noResponse
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}
