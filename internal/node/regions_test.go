package node_test

import (
	"net/http"
	"testing"

	"bitternwing/internal/config"
	"bitternwing/internal/emulator"
	"bitternwing/internal/wire"
)

// twoRegions makes two sites that share the limit of a team, half of it each.
func twoRegions(t *testing.T) (north, south *site) {
	t.Helper()
	internal := map[string]map[string]string{}
	var regions []config.Region
	for _, name := range []string{"north", "south"} {
		internal[name] = map[string]string{}
		region := config.Region{Name: name, InitialShare: 0.5}
		for _, n := range []string{"a", "b", "c"} {
			internal[name][n] = emulator.FreeAddr()
			region.Controllers = append(region.Controllers, internal[name][n])
		}
		regions = append(regions, region)
	}
	of := func(name string) *site {
		return newSiteWith(t, siteOptions{internal: internal[name], operator: func(_ string, o *config.OperatorSettings) {
			o.Regions = config.Regions{Name: name, All: regions}
		}})
	}
	return of("north"), of("south")
}

// running tells whether so many tasks of a job run.
func (s *site) running(node, id string, tasks int) bool {
	_, st := s.call(http.MethodGet, node, wire.JobsPath+"/"+id, "")
	return st.Running != nil && *st.Running == tasks
}

// TestRegions has real controllers of two regions share a limit: a job that needs all of it runs in one region, then one that
// needs as much in the other, although a controller of each has ended.
func TestRegions(t *testing.T) {
	north, south := twoRegions(t)
	north.submit("a", "run-000001", wire.KindService, 2, 8)
	north.eventually("the whole limit is used in the north", func() bool { return north.running("a", "run-000001", 2) })
	south.submit("b", "run-000002", wire.KindService, 2, 8)
	north.kill("c")
	south.kill("a")
	if south.running("b", "run-000002", 1) || south.running("b", "run-000002", 2) {
		t.Error("the south uses what the north holds")
	}
	north.eventually("the job in the north is cancelled", func() bool {
		status, _ := north.call(http.MethodPost, "a", wire.JobsPath+"/run-000001"+wire.CancelSuffix, "")
		return status == http.StatusOK
	})
	south.eventually("the whole limit is used in the south", func() bool { return south.running("b", "run-000002", 2) })
}
