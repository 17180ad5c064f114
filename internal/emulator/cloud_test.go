package emulator

import (
	"context"
	"fmt"
	"testing"

	"bitternwing/internal/cloud"
	"bitternwing/internal/outcome"
	"bitternwing/internal/wire"
)

// testMachine is a running machine without a worker.
type testMachine struct{ stopped bool }

func (m *testMachine) Addr() string  { return "127.0.0.1:1" }
func (m *testMachine) State() string { return wire.MachineRunning }
func (m *testMachine) Stop()         { m.stopped = true }

// TestCloud checks that scale-out stops at the capacity and is idempotent, that the list is paged in order, and that
// scale-in stops only the named machines.
func TestCloud(t *testing.T) {
	machines := map[string]*testMachine{}
	emulated := NewCloud([]wire.MachineType{{Name: "g8", Zones: []string{"z1"}}}, func(s MachineSpec) Machine {
		machines[s.Name] = &testMachine{}
		return machines[s.Name]
	})
	defer emulated.Close()
	emulated.AddRunning("g8", "z1", 498)
	emulated.SetCapacity("g8", 502)
	addr, err := emulated.AddClient("test")
	if err != nil {
		t.Fatal(err)
	}
	client, ctx := cloud.New(addr, 1000, 4), context.Background()
	request := wire.ScaleOutRequest{RequestID: "r-1", Type: "g8", Zone: "z1", Count: 9}
	for range 2 {
		if names, o := client.ScaleOut(ctx, request); o != outcome.OK || len(names.Machines) != 4 || names.Machines[0] != "host-000499" {
			t.Errorf("scale-out up to the capacity: got %v, %v", names, o)
		}
	}
	request.RequestID = "r-2"
	if _, o := client.ScaleOut(ctx, request); o != outcome.Unavailable {
		t.Errorf("scale-out above the capacity: got %v, want a refusal", o)
	}
	first, _ := client.List(ctx, "")
	if len(first.Machines) != wire.MaxPageMachines || !first.More {
		t.Fatalf("first page: got %d machines, want a full page and more to come", len(first.Machines))
	}
	last := first.Machines[wire.MaxPageMachines-1].Name
	if rest, _ := client.List(ctx, last); len(rest.Machines) != 2 || rest.More || rest.Machines[0].Name != fmt.Sprintf("host-%06d", 501) {
		t.Errorf("second page: got %+v after %s, want the last two machines", rest, last)
	}
	if o := client.ScaleIn(ctx, []string{"host-000001", "host-999999"}); o != outcome.OK || !machines["host-000001"].stopped || machines["host-000002"].stopped {
		t.Errorf("scale-in: got %v, want ok and only host-000001 stopped", o)
	}
}
