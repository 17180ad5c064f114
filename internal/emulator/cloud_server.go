package emulator

import (
	"encoding/json"
	"net/http"
	"strconv"

	"bitternwing/internal/wire"
)

// Requests that the cloud serves.
const (
	catalogRequest  = "GET /catalog"
	listRequest     = "GET /rentals"
	scaleOutRequest = "POST /rentals"
	scaleInRequest  = "POST /rentals/release"
)

// serve handles a request from a client.
func (c *Cloud) serve(client string, w http.ResponseWriter, r *http.Request) {
	if c.isPartitioned(client) {
		<-r.Context().Done() // a partitioned client gets no response
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limiter != nil && !c.limiter.Allow() {
		respond(w, http.StatusTooManyRequests, nil)
		return
	}
	switch r.Method + " " + r.URL.Path {
	case catalogRequest:
		respond(w, http.StatusOK, wire.Catalog{Types: c.types})
	case listRequest:
		query := r.URL.Query()
		limit, _ := strconv.Atoi(query.Get("limit"))
		respond(w, http.StatusOK, c.list(query.Get("after"), limit))
	case scaleOutRequest:
		var request wire.ScaleOutRequest
		if json.NewDecoder(r.Body).Decode(&request) != nil || !c.isValid(request) {
			respond(w, http.StatusBadRequest, nil)
			return
		}
		c.scaleOut(w, request)
	case scaleInRequest:
		var names wire.MachineNames
		if json.NewDecoder(r.Body).Decode(&names) != nil || len(names.Machines) > wire.MaxScaleIn {
			respond(w, http.StatusBadRequest, nil)
			return
		}
		if c.releasesRefused {
			respond(w, http.StatusServiceUnavailable, wire.ErrorBody{Error: "trouble"})
			return
		}
		c.scaleIn(names.Machines)
		respond(w, http.StatusOK, struct{}{})
	default:
		respond(w, http.StatusBadRequest, nil)
	}
}

// isValid reports whether a scale-out request names a known type and an allowed count.
func (c *Cloud) isValid(request wire.ScaleOutRequest) bool {
	return c.machineType(request.Type) != nil && request.Count >= 1 && request.Count <= wire.MaxScaleOut
}

// scaleOut creates machines, as many as the capacity allows. A repeated request ID gets the first response again.
func (c *Cloud) scaleOut(w http.ResponseWriter, request wire.ScaleOutRequest) {
	if names, ok := c.namesByRequest[request.RequestID]; ok {
		respond(w, http.StatusOK, names)
		return
	}
	count := min(request.Count, c.freeCapacity(request.Type))
	if count <= 0 {
		respond(w, http.StatusServiceUnavailable, wire.ErrorBody{Error: "no capacity"})
		return
	}
	var names wire.MachineNames
	for range count {
		machine := c.createInstance(*c.machineType(request.Type), request.Zone, request.Spot)
		c.boot(machine)
		names.Machines = append(names.Machines, machine.spec.Name)
	}
	c.namesByRequest[request.RequestID] = names
	respond(w, http.StatusOK, names)
}
