package sizing

import (
	"testing"

	"bitternwing/internal/config"
)

// TestCheck checks that each setting that is too small is reported with a sufficient value, and that nothing is
// reported once all settings are raised to it.
func TestCheck(t *testing.T) {
	smallParams := func() *config.Params {
		return &config.Params{Cloud: config.Cloud{RPS: 2, ListLagS: 5},
			Limits: config.ProcessLimits{CPUShare: 0.2, MemoryMB: 320, MaxConnections: 2000}}
	}
	setters := map[string]func(*config.Params, float64){
		"params.limits.max_connections": func(p *config.Params, v float64) { p.Limits.MaxConnections = int(v) },
		"params.limits.memory_mb":       func(p *config.Params, v float64) { p.Limits.MemoryMB = v },
		"params.limits.core_share":      func(p *config.Params, v float64) { p.Limits.CPUShare = v },
		"params.cloud.rps":              func(p *config.Params, v float64) { p.Cloud.RPS = v },
	}
	if shortfalls := Check(smallParams(), 500); len(shortfalls) != 0 {
		t.Errorf("500 machines: %v", shortfalls)
	}
	for _, machines := range []int{4000, 8800} {
		p := smallParams()
		shortfalls := Check(p, machines)
		if len(shortfalls) != len(setters) {
			t.Errorf("%d machines: %v", machines, shortfalls)
		}
		for i, s := range shortfalls {
			setters[s.Field](p, s.Minimum)
			if remaining := Check(p, machines); len(remaining) != len(shortfalls)-1-i {
				t.Errorf("%d machines, %s raised to %g: %v", machines, s.Field, s.Minimum, remaining)
			}
		}
	}
}
