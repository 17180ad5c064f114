package fleetsim

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"bitternwing/internal/fleetsim/measure"
)

const smokeFile = "../../deploy/scale/smoke.json"

func smokeScenario(t *testing.T) *Scenario {
	t.Helper()
	s, err := LoadScenario(smokeFile)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestParseScenario parses all scenarios in deploy/scale. It then checks that errors in a scenario are reported in one
// line that names the field.
func TestParseScenario(t *testing.T) {
	files, err := filepath.Glob("../../deploy/scale/*.json")
	if err != nil || len(files) < 2 {
		t.Fatalf("scenario files = %v, %v, want at least 2", files, err)
	}
	for _, f := range files {
		if _, err := LoadScenario(f); err != nil {
			t.Error(err)
		}
	}
	text, err := os.ReadFile(smokeFile)
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct{ old, new, want string }{
		{`"seed": 1`, `"seed": 1, "sead": 1`, "sead"},
		{`"seed": 1`, `"name": "x"`, "seed"},
		{`"count": 200`, `"count": 0`, "/machines/0/count"},
		{`"kind": "kill_leader"`, `"kind": "zone_cut"`, "zone"},
		{`"zones": ["z1", "z2", "z3"]`, `"zones": []`, "/zones"},
		{`"count": 200`, `"count": 1`, "/faults/0/kind"},
		{`"kind": "kill_leader"`, `"kind": "zone_cut", "zone": "z9"`, "z9"},
		{`"at_s": 18`, `"at_s": 41`, "/faults/0/at_s"},
		{`{`, `[`, "not JSON"},
	} {
		changed := strings.Replace(string(text), test.old, test.new, 1)
		if test.want == "/faults/0/kind" {
			changed = strings.Replace(changed, "kill_leader", "worst_zone_lost", 1)
		}
		_, err := ParseScenario([]byte(changed))
		if err == nil || !strings.Contains(err.Error(), test.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("scenario with %s: error %v, want one line that names the field", test.new, err)
		}
	}
}

// TestRunRejectsInsufficientResources checks that Run fails with the cause if the binary, processes, memory or port
// that it needs are not available.
func TestRunRejectsInsufficientResources(t *testing.T) {
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	executable, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	options := Options{ControllerBinary: executable, Dir: t.TempDir(), MaxProcesses: 4}
	for want, change := range map[string]func(*Scenario, *Options){
		"binary":    func(_ *Scenario, o *Options) { o.ControllerBinary = "/nowhere/bitternwing" },
		"processes": func(s *Scenario, _ *Options) { s.Controllers.Count = 4 },
		"memory":    func(s *Scenario, _ *Options) { s.Controllers.MemoryMB = 1e9 },
		"port":      func(_ *Scenario, o *Options) { o.BasePort = listener.Addr().(*net.TCPAddr).Port },
	} {
		s, o := smokeScenario(t), options
		change(s, &o)
		if _, err := Run(context.Background(), s, o); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("Run: got error %[2]v, want one that contains %[1]q", want, err)
		}
	}
}

// buildController builds the controller binary and returns its path.
func buildController(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "bitternwing")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "bitternwing/cmd/bitternwing").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return binary
}

// TestRunWithFailover simulates a small fleet with a failover, and writes and prints the result.
func TestRunWithFailover(t *testing.T) {
	scenario := smokeScenario(t).Scale(0.1)
	scenario.DurationS, scenario.WarmUpS, scenario.Faults[0].AtS = 20, 2, 10
	dir := t.TempDir()
	result, err := Run(context.Background(), scenario, Options{ControllerBinary: buildController(t), Dir: dir, MaxProcesses: 4})
	if err != nil || result.Ended != endedInTime {
		t.Fatalf("Run: error %v, result %+v, want one that ended in time", err, result)
	}
	if result.Workers.Count != 20 || result.Started == 0 || result.Completed == 0 || result.Jobs.Accepted == 0 || len(result.Failovers) != 1 {
		t.Errorf("got %d workers, %d starts, %d completed, jobs %+v, failovers %+v; want 20 workers, some starts, completions and accepted jobs, 1 failover",
			result.Workers.Count, result.Started, result.Completed, result.Jobs, result.Failovers)
	}
	if l := result.LongestLeader(); l == nil || l.Usage.PeakMB == 0 || l.Traffic["report"].Messages == 0 || l.Traffic["state POST /txn"].Messages == 0 || l.Traffic[measure.KindPeer].Sent == 0 {
		t.Errorf("leader = %+v, want one with memory usage and traffic", l)
	}
	page, data := filepath.Join(dir, "result.html"), filepath.Join(dir, "result.json")
	if err := errors.Join(result.WritePage(page), result.Write(data), result.Print(io.Discard)); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(data)
	var decoded Result
	if err != nil || json.Unmarshal(text, &decoded) != nil || decoded.Started != result.Started {
		t.Errorf("result.json: %v, %d starts, want %d", err, decoded.Started, result.Started)
	}
}

// TestRunEndsWhenControllerExits checks that a simulation ends if a controller exits by itself, with a result that says
// so.
func TestRunEndsWhenControllerExits(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "broken")
	if err := os.WriteFile(binary, []byte("#!/bin/sh\nexit 1\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	result, err := Run(context.Background(), smokeScenario(t).Scale(0.1), Options{ControllerBinary: binary, Dir: t.TempDir(), MaxProcesses: 4})
	if err == nil || result == nil || !strings.Contains(result.Ended, "exited unexpectedly") {
		t.Errorf("Run: error %v, result %+v, want an error and a result that names the exit", err, result)
	}
}

// TestRunInterrupted checks that a cancelled simulation returns the result so far.
func TestRunInterrupted(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	seconds := 0
	options := Options{ControllerBinary: buildController(t), Dir: t.TempDir(), MaxProcesses: 4, Progress: func(Second) {
		if seconds++; seconds == 3 {
			cancel()
		}
	}}
	result, err := Run(ctx, smokeScenario(t).Scale(0.1), options)
	if err == nil || result == nil || result.Ended != "interrupted" || len(result.Seconds) < 3 {
		t.Errorf("Run: error %v, result %+v, want an error and an interrupted result with at least 3 seconds", err, result)
	}
}

// TestRelayPartition checks that a relay holds bytes back during a partition, and delivers and counts them afterwards.
func TestRelayPartition(t *testing.T) {
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	traffic := measure.NewTraffic()
	relay, err := newRelay("a", "b", listener.Addr().String(), traffic)
	if err != nil {
		t.Fatal(err)
	}
	defer relay.close()
	outgoing, err := new(net.Dialer).DialContext(t.Context(), "tcp4", relay.addr())
	if err != nil {
		t.Fatal(err)
	}
	incoming, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	relay.setPartitioned(true)
	if _, err := outgoing.Write([]byte("late")); err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, 8)
	if err := incoming.SetReadDeadline(time.Now().Add(100 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if n, err := incoming.Read(buffer); err == nil {
		t.Errorf("%q was delivered during a partition", buffer[:n])
	}
	relay.setPartitioned(false)
	if err := incoming.SetReadDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
	if n, err := incoming.Read(buffer); err != nil || string(buffer[:n]) != "late" || traffic.ByKind("a")[measure.KindPeer].Sent != 4 {
		t.Errorf("read %q, %v, traffic %+v; want \"late\" and 4 bytes sent", buffer[:n], err, traffic.ByKind("a"))
	}
}
