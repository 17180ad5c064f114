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
	for _, tt := range []struct {
		name   string
		steady bool
		load   float64
		min    time.Duration
		max    time.Duration
	}{
		{"response to a worker that is not steady, without load", false, 0, 0, 0},
		{"response to a steady worker, without load", true, 0, lease / 6, lease / 6},
		{"response to a worker that is not steady, at low load", false, 0.1, 0, 0},
		{"response to a worker that is not steady, at full load", false, 1, 2 * time.Second, timeout * 3 / 4},
		{"response to a steady worker, at full load", true, 1, 2 * time.Second, timeout * 3 / 4},
	} {
		if got := p.Hold(tt.steady, tt.load); got < tt.min || got > tt.max {
			t.Errorf("%s: held for %v, want %v to %v", tt.name, got, tt.min, tt.max)
		}
	}
	// Responses are not held if the hold time would be shorter than the workers' own heartbeat interval.
	if got := NewPacer(4*time.Second, lease, timeout).Hold(true, 1); got != 0 {
		t.Errorf("heartbeat interval of 4 s: held for %v, want 0", got)
	}
}

// TestResponsesInTime checks with random settings and loads that a worker receives each response before its timeout and
// well within its lease, and that held responses are released at common ticks.
func TestResponsesInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		heartbeatInterval := time.Duration(rapid.IntRange(100, 5000).Draw(t, "heartbeat interval ms")) * time.Millisecond
		workerLease := time.Duration(rapid.IntRange(3, 60).Draw(t, "lease s")) * time.Second
		p := NewPacer(heartbeatInterval, workerLease, timeout)
		now := time.Duration(rapid.IntRange(0, 1e9).Draw(t, "now us")) * time.Microsecond
		load := rapid.Float64Range(0, 1).Draw(t, "load")
		hold := p.Hold(rapid.Bool().Draw(t, "steady"), load)
		if hold == 0 {
			return
		}
		at := p.ReleaseAt(now, hold)
		if delay := at - now; delay < hold || delay >= timeout || delay > workerLease/2 {
			t.Fatalf("response to be held for %v is released after %v", hold, delay)
		}
		if at%(heartbeatInterval/4) != 0 {
			t.Fatalf("released at %v, which is not a common tick", at)
		}
		if heartbeatTimeout := p.HeartbeatTimeout(0, hold); heartbeatTimeout < at-now {
			t.Fatalf("heartbeat timeout of %v, but response released after %v", heartbeatTimeout, at-now)
		}
	})
}

func TestLoad(t *testing.T) {
	const second = time.Second
	for _, tt := range []struct {
		name            string
		interval, delay time.Duration
		min, max        float64 // after ten seconds
	}{
		{"timers on time", 100 * time.Millisecond, 0, 0, 0},
		{"a coarse clock", 50 * time.Millisecond, 30 * time.Millisecond, 0, 0},
		{"an occasional late timer", second, 100 * time.Millisecond, 0, 0.1},
		{"short of CPU time", 200 * time.Millisecond, 150 * time.Millisecond, 0.5, 1},
		{"very short of CPU time", 500 * time.Millisecond, 400 * time.Millisecond, 0.9, 1},
	} {
		l := NewLoad(second, 10*second)
		now := second
		for ; now < 11*second; now += tt.interval {
			l.Observe(now, tt.delay)
		}
		if got := l.Level(now); got < tt.min || got > tt.max {
			t.Errorf("%s: load %.2f, want %.2f to %.2f", tt.name, got, tt.min, tt.max)
		}
		if got := l.Level(now + 10*second); got != 0 {
			t.Errorf("%s: load %.2f after 10 s with timers on time, want 0", tt.name, got)
		}
	}
	suspended := NewLoad(second, 10*second)
	if suspended.Observe(60*second, 50*second); suspended.Level(60*second) > maxSample {
		t.Errorf("load %.2f after one suspension of the process, want at most maxSample", suspended.Level(60*second))
	}
	// The delays of requests that waited at the same time count only once.
	queued := NewLoad(second, 10*second)
	queued.Observe(59*second, 0)
	for range 50 {
		queued.Observe(60*second, 200*time.Millisecond)
	}
	if got := queued.Level(60 * second); got > 0.2 {
		t.Errorf("load %.2f after 50 requests that waited at the same time, want at most 0.20", got)
	}
}
