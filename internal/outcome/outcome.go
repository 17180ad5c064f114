// Package outcome classifies what is known of a request to another process. A request that got no response may have been applied,
// or may yet be: callers that write must be able to tell this from one that certainly was not. It makes no requests itself.
package outcome

// Outcome is what is known of a request.
type Outcome int

// The outcomes.
const (
	Unknown     Outcome = iota // may have been applied, or may yet be
	Unavailable                // certainly not applied: the service does not serve this node
	OK                         // applied
	Conflict                   // a condition of a compare-and-swap failed, nothing was applied
	NotFound                   // the requested object does not exist
	Invalid                    // malformed, or a lease it names has expired
	TooOld                     // a watch began at a revision that is compacted
	TooLarge                   // applied, but the response is larger than is read here
	// Dropped is certainly not applied, which tells nothing of the service: above its rate limit or
	// this node's own, or its deadline passed before it was sent.
	Dropped
)

// names are the names in logs and metrics, which operators query by.
var names = [...]string{"unknown", "refused", "ok", "conflict", "missing", "invalid", "too_old", "too_large", "dropped"}

// String names an outcome in logs and metrics.
func (o Outcome) String() string { return names[o] }

// CertainlyNotApplied tells whether a request was certainly not applied, and may be retried.
func (o Outcome) CertainlyNotApplied() bool { return o == Unavailable || o == Dropped }
