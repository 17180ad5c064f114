// Package fleetsim simulates a large fleet on one machine. It runs real controller processes against an emulated
// key-value store, an emulated cloud, simulated users and thousands of simulated workers, which all share this process.
// It checks the rules of the protocol as seen by the workers and users, and measures the resource usage of each
// process.
//
// All traffic stays on the loopback interface. Package simworker documents how the simulated workers differ from real
// ones. The key-value store and the cloud respond without delay and enforce their limits. A partitioned zone loses its
// connection to both, as if they were outside the zone.
package fleetsim
