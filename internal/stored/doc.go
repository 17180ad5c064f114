// Package stored holds the forms in which the controllers keep their state in the consensus-backed key-value
// store: the keys, the values below them, and the bounds of their sizes.
//
// Nodes of two versions run side by side during an upgrade, and values written long ago are read for as long as
// their keys live. So a key or a JSON tag never changes its meaning here; a new meaning takes a new key or field,
// and where an older version must not go on, a new form of the term that it can't read (TermFormat).
//
// Run records, rollout plans and quota accounts have forms of their own in packages record, rollout and quota;
// only their keys are here. The package is pure: it knows values, not who reads or writes them.
package stored
