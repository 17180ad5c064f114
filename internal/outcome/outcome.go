// Package outcome classifies what is known about a request to another process. A request without a response may have
// been applied, or may still be applied. Callers that write must be able to distinguish it from one that was certainly
// not applied. The package makes no requests itself.
package outcome

// Outcome is what is known about a request.
type Outcome int

// Possible outcomes of a request.
const (
	Unknown     Outcome = iota // may have been applied, or may still be
	Unavailable                // certainly not applied: the service is unavailable to this node
	OK                         // applied
	Conflict                   // a condition of a compare-and-swap failed; nothing was applied
	NotFound                   // the requested object does not exist
	Invalid                    // the request is malformed, or a lease that it names has expired
	TooOld                     // the revision at which a watch was to start has been compacted
	TooLarge                   // applied, but the response exceeds the size limit of this client
	// Dropped means certainly not applied, without saying anything about the availability of the service: the request
	// exceeded the service's rate limit or this node's own, or its deadline passed before it was sent.
	Dropped
)

// outcomeNames are the names in logs and metrics. Operators' queries depend on them.
var outcomeNames = [...]string{"unknown", "refused", "ok", "conflict", "missing", "invalid", "too_old", "too_large", "dropped"}

// String returns the name of an outcome in logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }

// CertainlyNotApplied reports whether a request was certainly not applied and may therefore be retried.
func (o Outcome) CertainlyNotApplied() bool { return o == Unavailable || o == Dropped }
