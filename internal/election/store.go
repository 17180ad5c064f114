package election

import (
	"time"

	"bitternwing/internal/outcome"
)

// Store are the calls of the key-value store that an election needs. Each sends a request and returns; the reply is handed
// to the call in a later step.
type Store interface {
	// GrantLease asks for a new lease.
	GrantLease(ttl time.Duration, call Call)
	// RenewLease keeps a lease alive for another of its lives.
	RenewLease(lease uint64, call Call)
	// RevokeLease ends a lease, and with it the leader key that is held by it.
	RevokeLease(lease uint64, call Call)
	// ClaimTerm writes the leader key and the term key by compare-and-swap: on the conditions that there is no leader key
	// and that the term key has not changed. An error means that nothing was sent.
	ClaimTerm(claim Claim, call Call) error
}

// Claim is what a candidate writes.
type Claim struct {
	Term  uint64
	Lease uint64 // of the leader key
	// TermVersion is the version of the term key that the claim replaces.
	TermVersion uint64
}

// Call is a request that waits for its reply.
type Call interface {
	Complete(reply Reply)
}

// Reply is the reply to a call.
type Reply struct {
	Outcome outcome.Outcome
	// SentAt is when the request was sent, which is no later than the store's decision.
	SentAt time.Duration
	// Lease is the lease that was granted.
	Lease uint64
	// Revision is that of a compare-and-swap: the version of the keys that it wrote.
	Revision uint64
}
