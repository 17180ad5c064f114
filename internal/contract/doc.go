// Package contract has only tests. They compare the names and texts that other programs, earlier versions and operators
// depend on with golden files in testdata: field names on the wire and in stored values, keys, gRPC messages, metrics,
// commands, exit statuses, schemas and response texts. A golden file changes only with an intended change of one of
// these.
package contract
