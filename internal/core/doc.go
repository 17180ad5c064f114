// Package core is the state machine of a controller node. It decides how users' requests are answered, which machines
// are requested and released, and what runs where. Each input is handed to Step with the time at which it came; Step
// returns the effects to carry out: calls of other processes, responses and log lines. There is no clock, no I/O, no
// goroutine and no randomness in here, so a recorded trace plays the same way each time.
//
// The main parts of a Core:
//   - userRequests answers submissions, lookups and cancellations.
//   - leader is the state of a node that holds a term: it reconciles heartbeats, runs scheduling cycles, provisions
//     machines and writes run records.
//   - leaseRelay renews the leases of workers that can't reach the leader.
//   - cancellationReplicator makes cancellations known to all nodes before users are told of them.
//   - storeWatch and storeHealth follow the key-value store; package election decides whether the node leads.
package core
