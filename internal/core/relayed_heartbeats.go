package core

import (
	"bytes"
	"compress/flate"
	"encoding/base64"
	"encoding/json"
	"io"

	"bitternwing/internal/wire"
)

// This file is the stored form of the reports that a node passes on to the leader: a list of them, as
// many as a value holds. Where values are small a machine's report alone may be larger than one; it
// can't be divided, since what a report lacks tells that a task has ended. So once all nodes are known to
// read it, the list is compressed: it says the same words again and again.

// maxRelayedBytes bounds what is read of a compressed list.
const maxRelayedBytes = 4 * wire.MaxBody

// relayPacker puts reports into values, as many into each as fit.
type relayPacker struct {
	maxBytes   int
	compressed bool
	values     []json.RawMessage
}

// pack adds a list of reports, in as many values as they need. A report that fits into no value is left
// out, and given back.
func (p *relayPacker) pack(reports []json.RawMessage) (tooLarge int) {
	for len(reports) > 0 {
		n := p.firstGuess(reports)
		value, err := p.encode(reports[:n])
		for n > 1 && (err != nil || len(value) > p.maxBytes) {
			n = (n + 1) / 2
			value, err = p.encode(reports[:n])
		}
		if err != nil || len(value) > p.maxBytes {
			tooLarge++
		} else {
			p.values = append(p.values, value)
		}
		reports = reports[n:]
	}
	return tooLarge
}

// typicalCompression is how much smaller reports mostly get by compression.
const typicalCompression = 4

// firstGuess gives how many reports may fit into a value, at least one.
func (p *relayPacker) firstGuess(reports []json.RawMessage) int {
	most := p.maxBytes
	if p.compressed {
		most = min(typicalCompression*most, maxRelayedBytes)
	}
	n, size := 0, len("[]")
	for ; n < len(reports); n++ {
		if size += len(reports[n]) + len(","); size > most {
			break
		}
	}
	return max(1, n)
}

func (p *relayPacker) encode(reports []json.RawMessage) (json.RawMessage, error) {
	list, err := json.Marshal(reports)
	if err != nil || !p.compressed {
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

// decodeRelayed reads a list of reports in either form; nothing where it can't be read.
func decodeRelayed(value json.RawMessage) []*wire.Heartbeat {
	if packed, ok := decode[string](value); ok {
		data, err := base64.StdEncoding.DecodeString(packed)
		if err != nil {
			return nil
		}
		value, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxRelayedBytes))
		if err != nil {
			return nil
		}
	}
	reports, _ := decode[[]*wire.Heartbeat](value)
	return reports
}
