// Package simworker simulates thousands of workers of the protocol in one process, for tests and fleet simulations.
// Each worker has its own address, connection, lease and incarnation. It fetches images and runs tasks by the clock
// only, without executing anything, and is not meant for production.
//
// The simulation is simpler than the protocol's worker:
//
//   - Images that are fetched at the same time do not share the fetch rate. A fetch takes exactly the time that follows
//     from the size, and images are never evicted from the cache.
//   - All machines have the same speed, tasks do not fail, and there are no reclaim notices.
//   - A checkpoint keeps no progress: a task that is started again runs from the beginning, unless it had completed.
//   - Messages to an unreachable worker are lost instead of delayed.
//   - Direct commands to a partitioned zone do not arrive, whichever controller sends them.
package simworker
