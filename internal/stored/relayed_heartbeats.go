package stored

import (
	"bytes"
	"compress/flate"
	"encoding/base64"
	"encoding/json"
	"io"

	"bitternwing/internal/wire"
)

// Heartbeats that a node relays to the leader are stored as lists, as many as a value holds. Where values are small
// the heartbeat of one machine may be larger than a value; it can't be divided, since a task that a heartbeat lacks
// has ended. So once all nodes are known to read it, the list is compressed: heartbeats repeat the same words.

// maxRelayedBytes bounds what is read of a compressed list.
const maxRelayedBytes = 4 * wire.MaxBodyBytes

// RelayedHeartbeatPacker puts heartbeats into values.
type RelayedHeartbeatPacker struct {
	MaxBytes   int // of a value
	Compressed bool
}

// Pack returns the values that hold a list of heartbeats, as many heartbeats in each as fit. Those that fit into no
// value are left out and counted.
func (p RelayedHeartbeatPacker) Pack(heartbeats []json.RawMessage) (values []json.RawMessage, tooLarge int) {
	for len(heartbeats) > 0 {
		n := p.firstGuess(heartbeats)
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

// typicalCompression is how much smaller heartbeats mostly get by compression.
const typicalCompression = 4

// firstGuess returns how many heartbeats may fit into a value, at least one.
func (p RelayedHeartbeatPacker) firstGuess(heartbeats []json.RawMessage) int {
	maxBytes := p.MaxBytes
	if p.Compressed {
		maxBytes = min(typicalCompression*maxBytes, maxRelayedBytes)
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
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(list); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return json.Marshal(base64.StdEncoding.EncodeToString(packed.Bytes()))
}

// DecodeRelayedHeartbeats reads a list of heartbeats, plain or compressed.
func DecodeRelayedHeartbeats(value json.RawMessage) ([]*wire.Heartbeat, error) {
	if packed, err := decode[string](value); err == nil {
		data, err := base64.StdEncoding.DecodeString(packed)
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
