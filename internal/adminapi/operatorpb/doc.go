// Package operatorpb holds the generated messages and stubs of the gRPC services for operators, routers and other regions.
// It is made from operators.proto.
package operatorpb
