// Package emulator emulates the services that controllers call, for tests and fleet simulations: the key-value store and the cloud.
// They keep to the protocol, with its limits and faults on demand, and store nothing beyond the process; they are no products.
// The workers are those of package simworker.
package emulator
