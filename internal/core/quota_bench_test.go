package core_test

import (
	"fmt"
	"testing"
	"time"

	"bitternwing/internal/config"
)

// BenchmarkQuotas measures a leader's CPU time, in microseconds per second of simulated time, with 400 services on
// 400 machines and various numbers of teams whose limits are divided among four regions. No region requests a share.
func BenchmarkQuotas(b *testing.B) {
	for _, teams := range []int{0, 12, 350} {
		b.Run(fmt.Sprint(teams), func(b *testing.B) {
			for range b.N {
				b.ReportMetric(leaderCPUTimeWithTeams(b, teams), "µs/s")
			}
		})
	}
}

// leaderCPUTimeWithTeams returns the leader's CPU time with the given number of teams, in microseconds per second. With
// 0 there are 12 teams whose limits are not divided.
func leaderCPUTimeWithTeams(b *testing.B, teams int) float64 {
	b.Helper()
	cluster := newScaleCluster(b, 1, 0)
	cluster.largeSettings, cluster.operator.IdleTimeoutBoots = true, 100
	if teams > 0 {
		cluster.operator.Regions = config.Regions{Name: regionName(0)}
		for i := range 4 {
			cluster.operator.Regions.All = append(cluster.operator.Regions.All, config.Region{Name: regionName(i), InitialShare: 0.25})
		}
	}
	cluster.adjustParams = func(p *config.Params) {
		p.Teams = nil
		for i := range max(12, teams) {
			p.Teams = append(p.Teams, config.Team{Name: fmt.Sprint("t", i), GuaranteedGPUs: 1000, MaxGPUs: 3000})
		}
	}
	cluster.restartNodes()
	cluster.addMachines(400)
	cluster.runFor(10 * time.Second)
	cluster.submitServices(400, 1)
	cluster.runFor(60 * time.Second)
	cluster.measureSteps, cluster.stepTime = true, 0
	const seconds = 20
	cluster.runFor(seconds * time.Second)
	return float64(cluster.stepTime.Microseconds()) / seconds
}
