package watchcache

import (
	"encoding/json"

	"bitternwing/internal/stored"
)

// unreachableShard is a shard of the unreachable hints.
type unreachableShard struct {
	lastHeardMS stored.UnreachableHints
	encoded     string // the same, as it is stored
}

func (c *Cache) applyUnreachableHints(key string, value json.RawMessage) {
	delete(c.unreachable, key)
	if lastHeard, err := stored.DecodeUnreachableHints(value); err == nil {
		c.unreachable[key] = unreachableShard{lastHeardMS: lastHeard, encoded: string(value)}
	}
}

// LastHeardMS returns the time of day when an earlier leader last heard a machine; false if it left none. Of two shards
// that name the machine one was about to be rewritten, and the later time holds.
func (c *Cache) LastHeardMS(machine string) (lastHeardMS int64, known bool) {
	for _, shard := range c.unreachable {
		if heard, named := shard.lastHeardMS[machine]; named {
			lastHeardMS, known = max(lastHeardMS, heard), true
		}
	}
	return lastHeardMS, known
}

// UnreachableHintValues returns the stored values of the unreachable hints, by shard.
func (c *Cache) UnreachableHintValues() []string {
	var values []string
	for i := 0; ; i++ {
		shard, ok := c.unreachable[stored.UnreachableHintKey(i)]
		if !ok {
			return values
		}
		values = append(values, shard.encoded)
	}
}
