package stored

import "encoding/json"

// UnreachableHints is a shard of the times of day when machines were last heard, by machine, in milliseconds. The
// leader writes them for the machines of zones that are out of reach, so that an election does not restart the time
// after which they are released. It is a hint and no evidence: one that is wrong has a machine released sooner, and
// only the cloud's word ends what runs on it.
type UnreachableHints map[string]int64

// DecodeUnreachableHints reads a shard of the unreachable hints.
func DecodeUnreachableHints(value json.RawMessage) (UnreachableHints, error) {
	return decode[UnreachableHints](value)
}

// unreachableHintOverhead is what a machine takes in the unreachable hints at most, beside its name.
const unreachableHintOverhead = 20

// UnreachableHintPacker puts unreachable hints into shards. One shard of 16 KiB holds some 500 machines.
type UnreachableHintPacker struct{ packer shardPacker[int64] }

// NewUnreachableHintPacker makes a packer of shards of at most maxBytes each.
func NewUnreachableHintPacker(maxBytes int) *UnreachableHintPacker {
	return &UnreachableHintPacker{shardPacker[int64]{maxBytes: maxBytes, size: maxBytes}}
}

// Add puts in when a machine was last heard.
func (p *UnreachableHintPacker) Add(machine string, lastHeardMS int64) {
	p.packer.add(machine, lastHeardMS, len(machine)+unreachableHintOverhead)
}

// Encode returns the stored forms of all shards.
func (p *UnreachableHintPacker) Encode() ([]json.RawMessage, error) { return p.packer.encode() }
