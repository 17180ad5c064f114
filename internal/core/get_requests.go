package core

import (
	"net/http"

	"bitternwing/internal/wire"
)

// pendingGetRequest is a GetJob request that awaits its lookup.
type pendingGetRequest struct {
	requests *userRequests
	request  GetJob
}

// getJob responds with a job's state.
func (u *userRequests) getJob(in GetJob) {
	c := u.core
	if !wire.ValidJobID(in.ID) {
		c.respond(in.RequestID, http.StatusNotFound, noSuchJob)
		return
	}
	if final, ok := c.cache.FinalState(in.ID); ok {
		c.respond(in.RequestID, http.StatusOK, finalJobResponse(in.ID, final))
		return
	}
	if u.rejectIfOverloaded(in.RequestID) {
		return
	}
	get := pendingGetRequest{requests: u, request: in}
	u.startLookup(&lookup{id: in.ID, batchable: true, onResult: get.respond})
}

func (g pendingGetRequest) respond(result lookupResult) {
	u, requestID, id := g.requests, g.request.RequestID, g.request.ID
	switch result.state {
	case lookupIndeterminate:
		u.respondIndeterminate(requestID)
	case lookupNotFound:
		u.respond(requestID, http.StatusNotFound, noSuchJob)
	case lookupActive, lookupEnded:
		u.respond(requestID, http.StatusOK, u.core.jobResponseOf(id, result))
	}
}
