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

// rollouts holds the simulated rollouts of models and the model servers. It is nil if the scenario has no rollouts.
type rollouts struct {
	servers *simmodelserver.Server
	models  []*rolling.Rollout
}

// setUpRollouts starts the model servers and prepares the scenario's rollouts.
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
		prepared, err := rolling.New(model, i, environment)
		if err != nil {
			return err
		}
		sim.rollouts.models = append(sim.rollouts.models, prepared)
	}
	sim.rollouts.servers.SetWrongResponses(sim.rollouts.isWrong)
	return nil
}

func (sim *simulation) rolloutEnvironment(teams []string) *rolling.Environment {
	environment := &rolling.Environment{
		ControllerBinary: sim.options.ControllerBinary,
		Dir:              sim.options.Dir,
		Teams:            teams,
		Fleet:            sim.fleet,
		Now:              sim.now,
		Submit: func(ctx context.Context, arrival load.Arrival) {
			sim.recorder.recordSubmission(arrival)
			sim.users.StartUser(ctx, arrival)
		},
		Cancel: sim.users.Cancel,
	}
	for _, process := range sim.controllers.list {
		environment.Controllers = append(environment.Controllers, process.internalAddress)
	}
	return environment
}

// isWrong reports whether a task is to respond wrongly to a request now.
func (r *rollouts) isWrong(task string, request int64) bool {
	return slices.ContainsFunc(r.models, func(model *rolling.Rollout) bool { return model.IsWrong(task, request) })
}

// modelPort returns the port of the model servers, or 0 if there are none.
func (r *rollouts) modelPort() int {
	if r == nil {
		return 0
	}
	return r.servers.Port()
}

// start runs all rollouts in the background until the context ends. The returned group waits for them.
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

// results returns the results of the rollouts, and the first broken promise or "".
func (r *rollouts) results() (all []rolling.Result, brokenPromise string) {
	if r == nil {
		return nil, ""
	}
	for _, model := range r.models {
		result := model.Result()
		if brokenPromise == "" {
			brokenPromise = result.BrokenPromise()
		}
		all = append(all, result)
	}
	return all, brokenPromise
}

// close closes the model servers.
func (r *rollouts) close() {
	if r != nil {
		r.servers.Close()
	}
}

// operatorSettings returns the scenario's operator settings, with the port of the model servers if that is not 0.
func (s *Scenario) operatorSettings(modelPort int) (json.RawMessage, error) {
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
