package election

import (
	"time"

	"bitternwing/internal/outcome"
)

// Store is the part of the key-value store's interface that an election needs. Each method sends a request and returns
// at once. The response is passed to the Call in a later step.
type Store interface {
	// GrantLease requests a new lease.
	GrantLease(ttl time.Duration, call Call)
	// RenewLease extends a lease by its full time to live.
	RenewLease(lease uint64, call Call)
	// RevokeLease ends a lease and deletes the leader key that is attached to it.
	RevokeLease(lease uint64, call Call)
	// ClaimTerm writes the leader key and the term key in one compare-and-swap. Its conditions are that there is no
	// leader key and that the term key has not changed. An error means that no request was sent.
	ClaimTerm(claim Claim, call Call) error
}

// Claim is what a candidate writes.
type Claim struct {
	Term  uint64
	Lease uint64 // lease to which the leader key is attached
	// TermVersion is the version of the term key that the claim replaces.
	TermVersion uint64
}

// Call is a call to the key-value store that waits for its response.
type Call interface {
	Complete(response Response)
}

// Response is the response to a call.
type Response struct {
	Outcome outcome.Outcome
	// SentAt is the time at which the request was sent. The store processed it no earlier.
	SentAt time.Duration
	// Lease is the lease that was granted.
	Lease uint64
	// Revision is the version given to the keys that a compare-and-swap wrote.
	Revision uint64
}
