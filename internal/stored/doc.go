// Package stored defines how the controller nodes store their state in the consensus-backed key-value store: the keys,
// the encoding of the values, and the limits on their sizes.
//
// During an upgrade, nodes of two versions run side by side, and values written long ago are read for as long as their
// keys exist. The meaning of a key or JSON tag therefore never changes. A new meaning gets a new key or field, and if
// older versions must be kept from leading, a new format of the term that they can't decode (TermFormat).
//
// The encodings of run records, rollout plans and quota accounts are in the packages record, rollout and quota; only
// their keys are defined here. The package is pure: it knows the values, but not who reads or writes them.
package stored
