package stored

import (
	"bitternwing/internal/wire"
	"encoding/json"
	"strconv"
	"strings"
	"testing"
)

// TestRelayedHeartbeats encodes and decodes the heartbeats of a zone whose machines are full of small tasks, in plain
// values and in small compressed ones.
func TestRelayedHeartbeats(t *testing.T) {
	const machines, tasks = 20, 64
	var heartbeats []json.RawMessage
	for m := range machines {
		r := wire.Heartbeat{Machine: "host-0000" + strconv.Itoa(m), Addr: "10.1.0.232:9000", Type: "g8", Zone: "a", Incarnation: 1, Sequence: 80, FencingToken: 41}
		for i := range tasks {
			r.Tasks = append(r.Tasks, wire.TaskStatus{Task: wire.TaskName("run-00041"+strconv.Itoa(m), i), Attempt: uint64(i), State: wire.TaskRunning})
		}
		heartbeats = append(heartbeats, encoded(t, r))
	}
	for _, packer := range []RelayedHeartbeatPacker{{MaxBytes: 16 << 10}, {MaxBytes: 1800, Compressed: true}} {
		values, tooLarge := packer.Pack(heartbeats)
		if tooLarge != 0 {
			t.Errorf("%d heartbeats are too large for a value of %d bytes", tooLarge, packer.MaxBytes)
		}
		n := 0
		for _, value := range values {
			if len(value) > packer.MaxBytes {
				t.Errorf("value of %d bytes is larger than the limit", len(value))
			}
			read, err := DecodeRelayedHeartbeats(value)
			if err != nil {
				t.Error(err)
			}
			for _, r := range read {
				if len(r.Tasks) == tasks && r.Sequence == 80 {
					n++
				}
			}
		}
		if n != machines {
			t.Errorf("decoded %d of %d heartbeats", n, machines)
		}
	}
	small := RelayedHeartbeatPacker{MaxBytes: 1800}
	if _, tooLarge := small.Pack(heartbeats); tooLarge != machines {
		t.Errorf("%d of %d heartbeats are too large, want all", tooLarge, machines)
	}
	for _, value := range []string{`"x"`, `"!"`, `{}`, `[{"host":7}]`, `"` + strings.Repeat("A", 100) + `"`} {
		if got, err := DecodeRelayedHeartbeats(json.RawMessage(value)); got != nil || err == nil {
			t.Errorf("%s is decoded as %v, error %v; want an error", value, got, err)
		}
	}
}
