// Package operatorpb holds the messages and stubs of the gRPC services for operators, routers and other regions. They
// are generated from operators.proto.
package operatorpb
