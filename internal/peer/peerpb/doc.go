// Package peerpb holds the generated messages and stubs of the gRPC service between controllers. It is made from peer.proto.
package peerpb
