package stored

import "encoding/json"

// UnreachableHints is one shard of the times at which machines were last heard from, by machine, as Unix time in
// milliseconds. The leader writes them for the machines of unreachable zones, so that an election does not restart the
// time after which they are released. They are hints and not proof: a wrong one only causes a machine to be released
// too soon, and a task is only considered ended once the cloud confirms that its machine no longer exists.
type UnreachableHints map[string]int64

// DecodeUnreachableHints decodes a shard of the unreachable hints.
func DecodeUnreachableHints(value json.RawMessage) (UnreachableHints, error) {
	return decode[UnreachableHints](value)
}

// unreachableHintOverhead is the maximum encoded size of an unreachable hint in addition to the machine's name, in
// bytes.
const unreachableHintOverhead = 20

// UnreachableHintPacker distributes unreachable hints over shards. A shard of 16 KiB holds about 500 machines.
type UnreachableHintPacker struct{ packer shardPacker[int64] }

// NewUnreachableHintPacker returns a packer of shards of at most maxBytes each. There is no shard until the first entry
// is added.
func NewUnreachableHintPacker(maxBytes int) *UnreachableHintPacker {
	return &UnreachableHintPacker{shardPacker[int64]{maxBytes: maxBytes, openShardBytes: maxBytes}}
}

// Add adds the time at which a machine was last heard from.
func (p *UnreachableHintPacker) Add(machine string, lastHeardMS int64) {
	p.packer.add(machine, lastHeardMS, len(machine)+unreachableHintOverhead)
}

// Encode returns the stored forms of all shards.
func (p *UnreachableHintPacker) Encode() ([]json.RawMessage, error) { return p.packer.encode() }
