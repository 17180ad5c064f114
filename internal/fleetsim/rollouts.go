package fleetsim

import (
	"context"
	"encoding/json"
	"slices"
	"sync"

	"bitternwing/internal/fleetsim/load"
	"bitternwing/internal/fleetsim/rolling"
	"bitternwing/internal/simmodelserver"
	"bitternwing/internal/simworker"
)

// rollouts are the models whose new version is rolled out, with their model servers; nil: there are none.
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
	environment := sim.rolloutEnvironment(teams)
	for i, model := range sim.scenario.Rollouts {
		simulated, err := rolling.New(model, i, environment)
		if err != nil {
			return err
		}
		sim.rollouts.models = append(sim.rollouts.models, simulated)
	}
	sim.rollouts.servers.SetWrongResponses(sim.rollouts.isWrong)
	return nil
}

func (sim *simulation) rolloutEnvironment(teams []string) *rolling.Environment {
	environment := &rolling.Environment{
		Binary: sim.options.Binary,
		Dir:    sim.options.Dir,
		Teams:  teams,
		Fleet:  sim.fleet,
		Now:    sim.now,
		Submit: func(ctx context.Context, arrival load.Arrival) {
			sim.recorder.submit(arrival)
			sim.users.Start(ctx, arrival)
		},
		Cancel: sim.users.Cancel,
	}
	for _, process := range sim.controllers.list {
		environment.Controllers = append(environment.Controllers, process.internalAddress)
	}
	return environment
}

// isWrong tells whether a task responds wrongly to a request now.
func (r *rollouts) isWrong(task string, request int64) bool {
	return slices.ContainsFunc(r.models, func(model *rolling.Rollout) bool { return model.IsWrong(task, request) })
}

// modelPort is the port of the model servers; 0: there are none.
func (r *rollouts) modelPort() int {
	if r == nil {
		return 0
	}
	return r.servers.Port()
}

// start simulates all rollouts in the background, until the context ends.
func (r *rollouts) start(ctx context.Context) *sync.WaitGroup {
	var running sync.WaitGroup
	if r == nil {
		return &running
	}
	for _, model := range r.models {
		running.Add(1)
		go func() { defer running.Done(); model.Run(ctx) }()
	}
	return &running
}

// results gives the results of the rollouts, and the first broken promise; "": there is none.
func (r *rollouts) results() (all []rolling.Result, broken string) {
	if r == nil {
		return nil, ""
	}
	for _, model := range r.models {
		result := model.Result()
		if broken == "" {
			broken = result.BrokenPromise()
		}
		all = append(all, result)
	}
	return all, broken
}

// close ends the model servers.
func (r *rollouts) close() {
	if r != nil {
		r.servers.Close()
	}
}

// operatorWith gives the operators' settings of the scenario, with the port of the model servers if there are any.
func (s *Scenario) operatorWith(modelPort int) (json.RawMessage, error) {
	if modelPort == 0 {
		return s.Operator, nil
	}
	settings := map[string]any{}
	if err := json.Unmarshal(s.Operator, &settings); err != nil {
		return nil, err
	}
	rolloutSettings, ok := settings["rollouts"].(map[string]any)
	if !ok {
		rolloutSettings = map[string]any{}
	}
	rolloutSettings["model_port"] = modelPort
	settings["rollouts"] = rolloutSettings
	return json.Marshal(settings)
}
