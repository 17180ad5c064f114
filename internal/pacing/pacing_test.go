package pacing

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	interval = time.Second
	lease    = 10 * time.Second
	timeout  = 4 * time.Second
)

func TestHold(t *testing.T) {
	p := NewPacer(interval, lease, timeout)
	for _, x := range []struct {
		name   string
		steady bool
		load   float64
		least  time.Duration
		most   time.Duration
	}{
		{"a machine in change gets its response at once", false, 0, 0, 0},
		{"a steady one sends a heartbeat each sixth of a lease", true, 0, lease / 6, lease / 6},
		{"little load leaves a machine in change alone", false, 0.1, 0, 0},
		{"full load holds every machine", false, 1, 2 * time.Second, timeout * 3 / 4},
		{"and steady ones no less", true, 1, 2 * time.Second, timeout * 3 / 4},
	} {
		if got := p.Hold(x.steady, x.load); got < x.least || got > x.most {
			t.Errorf("%s: held for %v, want %v to %v", x.name, got, x.least, x.most)
		}
	}
	// Responses to workers whose interval is as long as that are not held at all.
	if got := NewPacer(4*time.Second, lease, timeout).Hold(true, 1); got != 0 {
		t.Errorf("heartbeats each 4 s: held for %v", got)
	}
}

// TestAnswersInTime draws settings and loads. A worker always has its response before its timeout and well within its
// lease, and held responses are released at common ticks.
func TestAnswersInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		heartbeatInterval := time.Duration(rapid.IntRange(100, 5000).Draw(t, "report ms")) * time.Millisecond
		workerLease := time.Duration(rapid.IntRange(3, 60).Draw(t, "lease s")) * time.Second
		p := NewPacer(heartbeatInterval, workerLease, timeout)
		now := time.Duration(rapid.IntRange(0, 1e9).Draw(t, "now us")) * time.Microsecond
		load := rapid.Float64Range(0, 1).Draw(t, "load")
		hold := p.Hold(rapid.Bool().Draw(t, "settled"), load)
		if hold == 0 {
			return
		}
		at := p.Release(now, hold)
		if wait := at - now; wait < hold || wait >= timeout || wait > workerLease/2 {
			t.Fatalf("held for %v: released after %v", hold, wait)
		}
		if at%(heartbeatInterval/4) != 0 {
			t.Fatalf("released at %v, which is no common tick", at)
		}
		if patience := p.HeartbeatTimeout(0, hold); patience < at-now {
			t.Fatalf("late after %v, released after %v", patience, at-now)
		}
	})
}

func TestLoad(t *testing.T) {
	const second = time.Second
	for _, x := range []struct {
		name        string
		every, late time.Duration
		least, most float64 // after ten seconds
	}{
		{"timers in time", 100 * time.Millisecond, 0, 0, 0},
		{"a coarse clock", 50 * time.Millisecond, 30 * time.Millisecond, 0, 0},
		{"now and then a late one", second, 100 * time.Millisecond, 0, 0.1},
		{"short of processor time", 200 * time.Millisecond, 150 * time.Millisecond, 0.5, 1},
		{"far too little", 500 * time.Millisecond, 400 * time.Millisecond, 0.9, 1},
	} {
		l := NewLoad(second, 10*second)
		now := second
		for ; now < 11*second; now += x.every {
			l.Observe(now, x.late)
		}
		if got := l.Level(now); got < x.least || got > x.most {
			t.Errorf("%s: load %.2f, want %.2f to %.2f", x.name, got, x.least, x.most)
		}
		if got := l.Level(now + 10*second); got != 0 {
			t.Errorf("%s: load %.2f when all is well again", x.name, got)
		}
	}
	standstill := NewLoad(second, 10*second)
	if standstill.Observe(60*second, 50*second); standstill.Level(60*second) > longestSample {
		t.Errorf("one standstill: load %.2f", standstill.Level(60*second))
	}
	// Requests that have waited together tell as much as one of them.
	queue := NewLoad(second, 10*second)
	queue.Observe(59*second, 0)
	for range 50 {
		queue.Observe(60*second, 200*time.Millisecond)
	}
	if got := queue.Level(60 * second); got > 0.2 {
		t.Errorf("fifty requests that waited together: load %.2f", got)
	}
}
