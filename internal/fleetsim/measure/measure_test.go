package measure

import (
	"os"
	"testing"
	"time"
)

// TestProcess samples this process while it works, and checks its usage. Sampling a process that does not exist fails.
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
	usage := p.Usage(0)
	if usage.SampleCount != 2 || usage.PeakMB <= 0 || usage.PeakFiles <= 0 || usage.PeakCores < usage.Cores || p.Usage(1.5).SampleCount != 1 {
		t.Errorf("usage = %+v, want 2 samples with memory and files, and one sample from 1.5 s on", usage)
	}
	missing := &Process{pid: -1}
	if missing.Sample(1) == nil {
		t.Error("sampled a process that does not exist")
	}
}

// TestHistogram checks the statistics, and that a value beyond the range counts as the maximum.
func TestHistogram(t *testing.T) {
	h := NewHistogram()
	for i := range 100 {
		h.Add(time.Duration(i+1) * time.Millisecond)
	}
	h.Add(24 * time.Hour)
	if s := h.Summary(); s.Count != 101 || s.P50 != 51 || s.P99 != 100 || s.Max < maxValue-maxValue/1000 {
		t.Errorf("summary = %+v, want count 101, p50 51, p99 100, max at the end of the range", s)
	}
}

// TestTraffic checks that messages and bytes are counted by controller and kind.
func TestTraffic(t *testing.T) {
	traffic := NewTraffic()
	traffic.Count("a", KindPoll, 1, 10)
	traffic.Count("a", KindPoll, 2, 20)
	traffic.CountBytes("a", KindPeer, 5, 6)
	if got := traffic.ByKind("a"); got[KindPoll] != (Count{2, 3, 30}) || got[KindPeer] != (Count{0, 5, 6}) || len(traffic.ByKind("b")) != 0 {
		t.Errorf("counts of a = %+v, want 2 polls of 3 and 30 bytes, 5 and 6 bytes of peers, none of b", got)
	}
}
