// Package core is the deterministic state machine of a controller node. It decides how users' requests are answered,
// which machines are requested and released, and which task runs on which machine.
//
// Step takes an input with the time of its arrival and returns the effects to carry out: calls to other processes,
// responses and log lines. The package uses no clock, I/O, goroutines or randomness, so replaying a recorded trace
// always yields the same effects.
//
// The main parts of a Core:
//   - userRequests handles submissions, lookups and cancellations.
//   - leader holds the state of a node that leads a term. It reconciles heartbeats, runs scheduling cycles, provisions
//     machines and writes run records.
//   - leaseRelay renews the leases of workers that can't reach the leader.
//   - cancellationReplicator replicates cancellations to all nodes before users are told of them.
//   - storeWatch mirrors the watched keys of the key-value store, and storeHealth tracks whether the store is
//     available.
//   - Package election decides whether the node leads.
package core
