package node_test

import (
	"net/http"
	"testing"

	"bitternwing/internal/config"
	"bitternwing/internal/emulator"
	"bitternwing/internal/wire"
)

// startTwoRegions starts the clusters of two regions. Each holds half of the shared limit of a team.
func startTwoRegions(t *testing.T) (north, south *testCluster) {
	t.Helper()
	internalAddrs := map[string]map[string]string{}
	var regions []config.Region
	for _, name := range []string{"north", "south"} {
		internalAddrs[name] = map[string]string{}
		region := config.Region{Name: name, InitialShare: 0.5}
		for _, n := range []string{"a", "b", "c"} {
			internalAddrs[name][n] = emulator.FreeAddr()
			region.Controllers = append(region.Controllers, internalAddrs[name][n])
		}
		regions = append(regions, region)
	}
	newCluster := func(name string) *testCluster {
		return newTestClusterWith(t, clusterOptions{fixedInternalAddrs: internalAddrs[name], operator: func(_ string, o *config.OperatorSettings) {
			o.Regions = config.Regions{Name: name, All: regions}
		}})
	}
	return newCluster("north"), newCluster("south")
}

// runsTasks reports whether exactly this number of a job's tasks are running.
func (c *testCluster) runsTasks(node, id string, tasks int) bool {
	_, response := c.request(http.MethodGet, node, wire.JobsPath+"/"+id, "")
	return response.Running != nil && *response.Running == tasks
}

// TestRegions shares a team's limit between the controllers of two regions. A job that needs all of the limit runs in
// one region. After its cancellation, another job of the same size runs in the other region, although one controller of
// each region has been stopped in between.
func TestRegions(t *testing.T) {
	north, south := startTwoRegions(t)
	north.submit("a", "run-000001", wire.KindService, 2, 8)
	north.eventually("the whole limit is used in the north", func() bool { return north.runsTasks("a", "run-000001", 2) })
	south.submit("b", "run-000002", wire.KindService, 2, 8)
	north.stopNode("c")
	south.stopNode("a")
	if south.runsTasks("b", "run-000002", 1) || south.runsTasks("b", "run-000002", 2) {
		t.Error("the south uses a limit that the north holds")
	}
	north.eventually("the job in the north is cancelled", func() bool {
		status, _ := north.request(http.MethodPost, "a", wire.JobsPath+"/run-000001"+wire.CancelSuffix, "")
		return status == http.StatusOK
	})
	south.eventually("the whole limit is used in the south", func() bool { return south.runsTasks("b", "run-000002", 2) })
}
