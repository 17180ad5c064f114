// Package peerpb contains the messages and stubs of the gRPC service between controller nodes, generated from
// peer.proto.
package peerpb
