// Package simworker simulates workers of the protocol, thousands in one process: each has its own address,
// connection, lease and incarnation, holds tasks, fetches images and runs tasks on a clock, and computes nothing.
// It is for tests and fleet simulations, and makes no claim to be a worker for production.
//
// The package simplifies the protocol's worker: images that are fetched at the same time do not share the rate, take
// exactly as long as their size says, and are never evicted from the cache; machines do not differ in
// speed, tasks do not fail, and there are no preemption notices; a checkpoint keeps no progress, a task that
// starts anew begins anew, unless it had completed before. An unreachable worker loses what is sent to it
// instead of receiving it late. Direct commands to a partitioned zone do not arrive, whoever sends them.
package simworker
