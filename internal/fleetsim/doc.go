// Package fleetsim simulates a large fleet on one machine: real controller processes, with emulated services, simulated users
// and simulated workers, of which thousands share this process. It checks the protocol's rules as the workers and users see
// them, and measures what each process uses.
//
// All traffic stays on the loopback interface. How the simulated workers are simpler than real ones is said in package
// simworker. The key-value store and the cloud respond at once and keep their limits; a partitioned zone loses them
// both, as if they were outside it.
package fleetsim
