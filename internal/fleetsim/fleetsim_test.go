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

func smoke(t *testing.T) *Scenario {
	t.Helper()
	s, err := LoadScenario(smokeFile)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestScenarios reads all scenarios that are there, and names the field of what is wrong in others.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("../../deploy/scale/*.json")
	if err != nil || len(files) < 2 {
		t.Fatalf("%v, %v", files, err)
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
			t.Errorf("%s: %v", test.new, err)
		}
	}
}

// TestRefused refuses what the machine can't bear before anything is started.
func TestRefused(t *testing.T) {
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	options := Options{Binary: program, Dir: t.TempDir(), MaxProcesses: 4}
	for want, change := range map[string]func(*Scenario, *Options){
		"binary":    func(_ *Scenario, o *Options) { o.Binary = "/nowhere/bitternwing" },
		"processes": func(s *Scenario, _ *Options) { s.Controllers.Count = 4 },
		"memory":    func(s *Scenario, _ *Options) { s.Controllers.MemoryMB = 1e9 },
		"port":      func(_ *Scenario, o *Options) { o.BasePort = l.Addr().(*net.TCPAddr).Port },
	} {
		s, o := smoke(t), options
		change(s, &o)
		if _, err := Run(context.Background(), s, o); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}

// build builds the controllers' program.
func build(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "bitternwing")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "bitternwing/cmd/bitternwing").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return binary
}

// TestSmallRun simulates a small fleet through a failover, and writes the result.
func TestSmallRun(t *testing.T) {
	s := smoke(t).Scale(0.1)
	s.DurationS, s.WarmUpS, s.Faults[0].AtS = 20, 2, 10
	dir := t.TempDir()
	res, err := Run(context.Background(), s, Options{Binary: build(t), Dir: dir, MaxProcesses: 4})
	if err != nil || res.Ended != endedInTime {
		t.Fatalf("%v, %+v", err, res)
	}
	if res.Workers.Count != 20 || res.Started == 0 || res.Completed == 0 || res.Jobs.Accepted == 0 || len(res.Failovers) != 1 {
		t.Errorf("%d workers, %d starts, %d completed, %+v, %+v", res.Workers.Count, res.Started, res.Completed, res.Jobs, res.Failovers)
	}
	if l := res.Leader(); l == nil || l.Usage.PeakMB == 0 || l.Traffic["report"].Messages == 0 || l.Traffic["state POST /txn"].Messages == 0 || l.Traffic[measure.KindPeer].Sent == 0 {
		t.Errorf("the leader's usage is %+v", l)
	}
	page, data := filepath.Join(dir, "result.html"), filepath.Join(dir, "result.json")
	if err := errors.Join(res.WritePage(page), res.Write(data), res.Print(io.Discard)); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(data)
	var again Result
	if err != nil || json.Unmarshal(text, &again) != nil || again.Started != res.Started {
		t.Errorf("%v, %d starts of %d are kept", err, again.Started, res.Started)
	}
}

// TestChildDies ends a run whose controllers can't run, with a result that says so.
func TestChildDies(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "broken")
	if err := os.WriteFile(binary, []byte("#!/bin/sh\nexit 1\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	res, err := Run(context.Background(), smoke(t).Scale(0.1), Options{Binary: binary, Dir: t.TempDir(), MaxProcesses: 4})
	if err == nil || res == nil || !strings.Contains(res.Ended, "ended by itself") {
		t.Errorf("%v, %+v", err, res)
	}
}

// TestInterrupt ends all processes of a run that is interrupted, and gives the result so far.
func TestInterrupt(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	seconds := 0
	o := Options{Binary: build(t), Dir: t.TempDir(), MaxProcesses: 4, Progress: func(Second) {
		if seconds++; seconds == 3 {
			cancel()
		}
	}}
	res, err := Run(ctx, smoke(t).Scale(0.1), o)
	if err == nil || res == nil || res.Ended != "interrupted" || len(res.Seconds) < 3 {
		t.Errorf("%v, %+v", err, res)
	}
}

// TestRelay holds back what is sent while it is cut, and delivers it then.
func TestRelay(t *testing.T) {
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	traffic := measure.NewTraffic()
	r, err := newRelay("a", "b", l.Addr().String(), traffic)
	if err != nil {
		t.Fatal(err)
	}
	defer r.close()
	c, err := new(net.Dialer).DialContext(t.Context(), "tcp4", r.addr())
	if err != nil {
		t.Fatal(err)
	}
	in, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	r.setPartitioned(true)
	if _, err := c.Write([]byte("late")); err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, 8)
	if err := in.SetReadDeadline(time.Now().Add(100 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if n, err := in.Read(buffer); err == nil {
		t.Errorf("%q came through a cut", buffer[:n])
	}
	r.setPartitioned(false)
	if err := in.SetReadDeadline(time.Time{}); err != nil {
		t.Fatal(err)
	}
	if n, err := in.Read(buffer); err != nil || string(buffer[:n]) != "late" || traffic.Of("a")[measure.KindPeer].Sent != 4 {
		t.Errorf("%q, %v, %+v", buffer[:n], err, traffic.Of("a"))
	}
}
