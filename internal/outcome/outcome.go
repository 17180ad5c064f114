// Package outcome says what is known of a request to another process. A request that got no response may have been applied,
// or may yet be: callers that write must be able to tell this from one that certainly was not.
package outcome

// Outcome says what is known about a request.
type Outcome int

// The outcomes.
const (
	Unknown     Outcome = iota // may have been carried out, now or later
	Unavailable                // certainly not carried out: the service does not serve this node
	OK                         // carried out
	Conflict                   // a condition failed, nothing was carried out
	NotFound                   // what was asked for does not exist
	Invalid                    // malformed, or a lease it names has ended
	TooOld                     // a watch asked for changes no longer kept
	TooLarge                   // carried out, but the answer is larger than is read here
	// Dropped is certainly not carried out, which tells nothing of the service: above its rate limit or
	// this node's own, or its time was over before it was sent.
	Dropped
)

// names are those in logs and metrics.
var names = [...]string{"unknown", "refused", "ok", "conflict", "missing", "invalid", "too_old", "too_large", "dropped"}

// String names an outcome in logs and metrics.
func (o Outcome) String() string { return names[o] }

// CertainlyNotApplied tells whether a request was certainly not carried out and may be made again.
func (o Outcome) CertainlyNotApplied() bool { return o == Unavailable || o == Dropped }
