package stored

import "encoding/json"

// EmptyShard is the stored form of a shard that is not needed any more.
const EmptyShard = "{}"

// shardPacker spreads the entries of a map over shards in the order in which they come, each shard within the limit
// of a value.
type shardPacker[V any] struct {
	maxBytes int
	size     int // of the last shard
	shards   []map[string]V
}

// add puts an entry of at most so many bytes into the last shard, or into a new one.
func (p *shardPacker[V]) add(key string, value V, bytes int) {
	if p.size += bytes; p.size > p.maxBytes {
		p.shards = append(p.shards, map[string]V{})
		p.size = bytes
	}
	p.shards[len(p.shards)-1][key] = value
}

// encode returns the stored forms of all shards.
func (p *shardPacker[V]) encode() ([]json.RawMessage, error) {
	values := make([]json.RawMessage, len(p.shards))
	for i, shard := range p.shards {
		value, err := json.Marshal(shard)
		if err != nil {
			return nil, err
		}
		values[i] = value
	}
	return values, nil
}
