package fleetsim

import (
	"context"
	"encoding/json"
	"sync"

	"bitternwing/internal/fleetsim/load"
	"bitternwing/internal/fleetsim/rolling"
	"bitternwing/internal/simmodelserver"
	"bitternwing/internal/simworker"
)

// rollouts are the models of a run whose new version is rolled out, with their model servers; nil: there are none.
type rollouts struct {
	servers *simmodelserver.Server
	models  []*rolling.Rollout
}

// setUpRollouts starts the model servers and prepares what is to be rolled out.
func (sim *simulation) setUpRollouts(teams []string) error {
	if len(sim.scenario.Rollouts) == 0 {
		return nil
	}
	listener, err := simworker.ListenLoopback()
	if err != nil {
		return err
	}
	sim.rollouts = &rollouts{servers: simmodelserver.New(listener, sim.fleet)}
	world := &rolling.Environment{Binary: sim.options.Binary, Dir: sim.options.Dir, Teams: teams, Fleet: sim.fleet, Now: sim.now,
		Cancel: sim.users.Cancel, Submit: func(ctx context.Context, a load.Arrival) {
			sim.recorder.submit(a)
			sim.users.Start(ctx, a)
		}}
	for _, x := range sim.controllers.list {
		world.Controllers = append(world.Controllers, x.internalAddress)
	}
	for i, model := range sim.scenario.Rollouts {
		play, err := rolling.New(model, i, world)
		if err != nil {
			return err
		}
		sim.rollouts.models = append(sim.rollouts.models, play)
	}
	sim.rollouts.servers.SetWrong(func(task string, request int64) bool {
		for _, play := range sim.rollouts.models {
			if play.IsWrong(task, request) {
				return true
			}
		}
		return false
	})
	return nil
}

// modelPort is where the model servers are; 0: there are none.
func (x *rollouts) modelPort() int {
	if x == nil {
		return 0
	}
	return x.servers.Port()
}

// start plays all rollouts until the context ends.
func (x *rollouts) start(ctx context.Context) *sync.WaitGroup {
	var running sync.WaitGroup
	if x == nil {
		return &running
	}
	for _, play := range x.models {
		running.Add(1)
		go func() { defer running.Done(); play.Run(ctx) }()
	}
	return &running
}

// results gives what the rollouts came to, and the first thing that one of them did not keep.
func (x *rollouts) results() (all []rolling.Result, broken string) {
	if x == nil {
		return nil, ""
	}
	for _, play := range x.models {
		result := play.Result()
		if broken == "" {
			broken = result.BrokenPromise()
		}
		all = append(all, result)
	}
	return all, broken
}

func (x *rollouts) close() {
	if x != nil {
		x.servers.Close()
	}
}

// operatorWith gives the operators' settings of the scenario with the port of the model servers, where there are any.
func (s *Scenario) operatorWith(modelPort int) (json.RawMessage, error) {
	if modelPort == 0 {
		return s.Operator, nil
	}
	settings := map[string]any{}
	if err := json.Unmarshal(s.Operator, &settings); err != nil {
		return nil, err
	}
	own, ok := settings["rollouts"].(map[string]any)
	if !ok {
		own = map[string]any{}
	}
	own["model_port"] = modelPort
	settings["rollouts"] = own
	return json.Marshal(settings)
}
