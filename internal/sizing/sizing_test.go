package sizing

import (
	"testing"

	"bitternwing/internal/config"
)

// TestCheck finds each setting that is too small, with a value that is enough, and nothing once all are raised to it.
func TestCheck(t *testing.T) {
	small := func() *config.Params {
		return &config.Params{Cloud: config.Cloud{RPS: 2, ListLagS: 5},
			Limits: config.ProcessLimits{CPUShare: 0.2, MemoryMB: 320, MaxConnections: 2000}}
	}
	raise := map[string]func(*config.Params, float64){
		"params.limits.max_connections": func(p *config.Params, v float64) { p.Limits.MaxConnections = int(v) },
		"params.limits.memory_mb":       func(p *config.Params, v float64) { p.Limits.MemoryMB = v },
		"params.limits.core_share":      func(p *config.Params, v float64) { p.Limits.CPUShare = v },
		"params.cloud.rps":              func(p *config.Params, v float64) { p.Cloud.RPS = v },
	}
	if short := Check(small(), 500); len(short) != 0 {
		t.Errorf("a fleet of 500: %v", short)
	}
	for _, machines := range []int{4000, 8800} {
		p := small()
		short := Check(p, machines)
		if len(short) != len(raise) {
			t.Errorf("%d machines: %v", machines, short)
		}
		for i, s := range short {
			raise[s.Field](p, s.Least)
			if left := Check(p, machines); len(left) != len(short)-1-i {
				t.Errorf("%d machines, %s raised to %g: %v", machines, s.Field, s.Least, left)
			}
		}
	}
}
