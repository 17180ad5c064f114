package stored

import "encoding/json"

// EmptyShard is the stored form of a shard without entries. It overwrites shards that are no longer needed.
const EmptyShard = "{}"

// shardPacker distributes the entries of a map over shards, in the order in which they are added. Each shard fits into
// a value.
type shardPacker[V any] struct {
	maxBytes       int
	openShardBytes int // size of the last shard in bytes
	shards         []map[string]V
}

// add adds an entry with an encoded size of at most the given number of bytes to the last shard, or to a new one if it
// does not fit.
func (p *shardPacker[V]) add(key string, value V, entryBytes int) {
	if p.openShardBytes += entryBytes; p.openShardBytes > p.maxBytes {
		p.shards = append(p.shards, map[string]V{})
		p.openShardBytes = entryBytes
	}
	p.shards[len(p.shards)-1][key] = value
}

// encode returns the stored forms of all shards.
func (p *shardPacker[V]) encode() ([]json.RawMessage, error) { return encodeShards(p.shards) }

// encodeShards returns the stored forms of shards.
func encodeShards[S any](shards []S) ([]json.RawMessage, error) {
	values := make([]json.RawMessage, len(shards))
	for i, shard := range shards {
		value, err := json.Marshal(shard)
		if err != nil {
			return nil, err
		}
		values[i] = value
	}
	return values, nil
}
