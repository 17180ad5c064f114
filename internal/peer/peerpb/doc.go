// Package peerpb contains the messages and stubs of the gRPC service between controllers, generated from peer.proto.
package peerpb
