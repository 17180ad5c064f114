// Package contract holds a test alone: everything that other programs, earlier versions and operators read of bitternwing
// (field names on the wire and in stored values, keys, gRPC messages, metrics, commands, exit statuses, schemas) is compared
// with a list that is kept beside it. The list changes only where one of these is meant to change.
package contract
