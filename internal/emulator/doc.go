// Package emulator emulates the services that controllers call, for tests and fleet simulations: the key-value store
// and the cloud. They implement the protocol with its limits, inject faults on demand, and keep all data in memory.
// They are not meant for production. Package simworker simulates the workers.
package emulator
