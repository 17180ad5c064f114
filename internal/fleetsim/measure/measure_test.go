package measure

import (
	"os"
	"testing"
	"time"
)

// TestProcess samples this process while it works: what it used is between nothing and all cores.
func TestProcess(t *testing.T) {
	p := NewProcess("self", os.Getpid(), 0)
	for end := time.Now().Add(50 * time.Millisecond); time.Now().Before(end); {
		_ = make([]byte, 1<<10)
	}
	if err := p.Sample(1); err != nil {
		t.Fatal(err)
	}
	if err := p.Sample(2); err != nil {
		t.Fatal(err)
	}
	u := p.Usage(0)
	if u.SampleCount != 2 || u.PeakMB <= 0 || u.PeakFiles <= 0 || u.PeakCores < u.Cores || p.Usage(1.5).SampleCount != 1 {
		t.Errorf("%+v", u)
	}
	gone := &Process{pid: -1}
	if gone.Sample(1) == nil {
		t.Error("a process that is not there was sampled")
	}
}

// TestHistogram sums values up, and bounds those beyond its range.
func TestHistogram(t *testing.T) {
	h := NewHistogram()
	for i := range 100 {
		h.Add(time.Duration(i+1) * time.Millisecond)
	}
	h.Add(24 * time.Hour)
	if s := h.Summary(); s.Count != 101 || s.P50 != 51 || s.P99 != 100 || s.Max < maxMilliseconds-maxMilliseconds/1000 {
		t.Errorf("%+v", s)
	}
}

// TestTraffic counts by controller and kind.
func TestTraffic(t *testing.T) {
	tr := NewTraffic()
	tr.Count("a", KindPoll, 1, 10)
	tr.Count("a", KindPoll, 2, 20)
	tr.Bytes("a", KindPeer, 5, 6)
	if got := tr.Of("a"); got[KindPoll] != (Count{2, 3, 30}) || got[KindPeer] != (Count{0, 5, 6}) || len(tr.Of("b")) != 0 {
		t.Errorf("%+v", got)
	}
}
