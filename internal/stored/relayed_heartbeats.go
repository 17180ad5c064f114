package stored

import (
	"bytes"
	"compress/flate"
	"encoding/base64"
	"encoding/json"
	"io"

	"bitternwing/internal/wire"
)

// Heartbeats that a node relays to the leader are stored as lists, each with as many heartbeats as fit into a value. If
// values are small, the heartbeat of a single machine may be larger than a value. It can't be split, because a task
// that is missing from a heartbeat is taken to have ended. Lists are therefore compressed once all nodes are known to
// be able to read them. Heartbeats compress well because they are repetitive.

// maxRelayedBytes limits the decompressed size of a list.
const maxRelayedBytes = 4 * wire.MaxBodyBytes

// RelayedHeartbeatPacker encodes heartbeats into values.
type RelayedHeartbeatPacker struct {
	MaxBytes   int // maximum size of a value
	Compressed bool
}

// Pack returns values that together hold a list of heartbeats, with as many heartbeats in each value as fit. Heartbeats
// that are too large for a value are omitted and counted.
func (p RelayedHeartbeatPacker) Pack(heartbeats []json.RawMessage) (values []json.RawMessage, tooLarge int) {
	for len(heartbeats) > 0 {
		n := p.estimateCount(heartbeats)
		value, err := p.encode(heartbeats[:n])
		for n > 1 && (err != nil || len(value) > p.MaxBytes) {
			n = (n + 1) / 2
			value, err = p.encode(heartbeats[:n])
		}
		if err != nil || len(value) > p.MaxBytes {
			tooLarge++
		} else {
			values = append(values, value)
		}
		heartbeats = heartbeats[n:]
	}
	return values, tooLarge
}

// typicalCompressionRatio is the ratio by which compression typically reduces the size of heartbeats.
const typicalCompressionRatio = 4

// estimateCount returns an estimate of how many heartbeats fit into a value; it is at least one.
func (p RelayedHeartbeatPacker) estimateCount(heartbeats []json.RawMessage) int {
	maxBytes := p.MaxBytes
	if p.Compressed {
		maxBytes = min(typicalCompressionRatio*maxBytes, maxRelayedBytes)
	}
	n, size := 0, len("[]")
	for ; n < len(heartbeats); n++ {
		if size += len(heartbeats[n]) + len(","); size > maxBytes {
			break
		}
	}
	return max(1, n)
}

func (p RelayedHeartbeatPacker) encode(heartbeats []json.RawMessage) (json.RawMessage, error) {
	list, err := json.Marshal(heartbeats)
	if err != nil || !p.Compressed {
		return list, err
	}
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(list); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return json.Marshal(base64.StdEncoding.EncodeToString(compressed.Bytes()))
}

// DecodeRelayedHeartbeats decodes a plain or compressed list of heartbeats.
func DecodeRelayedHeartbeats(value json.RawMessage) ([]*wire.Heartbeat, error) {
	if compressed, err := decode[string](value); err == nil {
		data, err := base64.StdEncoding.DecodeString(compressed)
		if err != nil {
			return nil, err
		}
		value, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxRelayedBytes))
		if err != nil {
			return nil, err
		}
	}
	return decode[[]*wire.Heartbeat](value)
}
