package watchcache

import (
	"encoding/json"

	"bitternwing/internal/stored"
)

// unreachableShard is one shard of the unreachable hints.
type unreachableShard struct {
	lastHeardMS stored.UnreachableHints
	encoded     string // the stored form of lastHeardMS
}

func (c *Cache) applyUnreachableHints(key string, value json.RawMessage) {
	delete(c.unreachableHints, key)
	if lastHeard, err := stored.DecodeUnreachableHints(value); err == nil {
		c.unreachableHints[key] = unreachableShard{lastHeardMS: lastHeard, encoded: string(value)}
	}
}

// LastHeardMS returns the Unix time in milliseconds at which an earlier leader last heard from a machine, or false if
// there is no hint. A machine can be in two shards while the hints are being rewritten. The later time is then used.
func (c *Cache) LastHeardMS(machine string) (lastHeardMS int64, known bool) {
	for _, shard := range c.unreachableHints {
		if heard, named := shard.lastHeardMS[machine]; named {
			lastHeardMS, known = max(lastHeardMS, heard), true
		}
	}
	return lastHeardMS, known
}

// UnreachableHintValues returns the stored values of the unreachable hints, ordered by shard.
func (c *Cache) UnreachableHintValues() []string {
	var values []string
	for i := 0; ; i++ {
		shard, ok := c.unreachableHints[stored.UnreachableHintKey(i)]
		if !ok {
			return values
		}
		values = append(values, shard.encoded)
	}
}
