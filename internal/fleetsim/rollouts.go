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
func (r *simulation) setUpRollouts(teams []string) error {
	if len(r.scenario.Rollouts) == 0 {
		return nil
	}
	listener, err := simworker.ListenLoopback()
	if err != nil {
		return err
	}
	r.rollouts = &rollouts{servers: simmodelserver.New(listener, r.fleet)}
	world := &rolling.Environment{Binary: r.options.Binary, Dir: r.options.Dir, Teams: teams, Fleet: r.fleet, Now: r.now,
		Cancel: r.users.Cancel, Submit: func(ctx context.Context, a load.Arrival) {
			r.recorder.submit(a)
			r.users.Start(ctx, a)
		}}
	for _, x := range r.controllers.list {
		world.Controllers = append(world.Controllers, x.internalAddress)
	}
	for i, model := range r.scenario.Rollouts {
		play, err := rolling.New(model, i, world)
		if err != nil {
			return err
		}
		r.rollouts.models = append(r.rollouts.models, play)
	}
	r.rollouts.servers.SetWrong(func(task string, request int64) bool {
		for _, play := range r.rollouts.models {
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
