package fleetsim

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
)

// Sweep describes several simulations of a scenario: one for each variant of the operator settings and each seed.
type Sweep struct {
	Seeds    []uint64  `json:"seeds"`
	Variants []Variant `json:"variants"`
}

// Variant overrides fields of the operator settings in a scenario.
type Variant struct {
	Name     string         `json:"name"`
	Operator map[string]any `json:"operator"`
}

// SweepRun is the result of one simulation of a sweep.
type SweepRun struct {
	Variant    string       `json:"variant"`
	Seed       uint64       `json:"seed"`
	Ended      string       `json:"ended"`
	Violations int          `json:"violations"`
	Spread     SpreadResult `json:"spread"`
}

// RunSweep simulates the variants of a scenario one after the other. It continues after a simulation that violated a
// rule or broke a promise, and returns the first such error. Any other error ends the sweep.
func RunSweep(ctx context.Context, scenario *Scenario, options Options) ([]SweepRun, error) {
	var runs []SweepRun
	var firstErr error
	for _, variant := range scenario.Sweep.Variants {
		for _, seed := range scenario.Sweep.Seeds {
			result, err := runVariant(ctx, scenario, options, variant, seed)
			if result == nil {
				return runs, err
			}
			runs = append(runs, SweepRun{Variant: variant.Name, Seed: seed, Ended: result.Ended, Violations: len(result.Violations), Spread: result.Spread})
			if result.Ended != endedInTime {
				return runs, err
			}
			if err != nil && firstErr == nil {
				firstErr = fmt.Errorf("%s, seed %d: %w", variant.Name, seed, err)
			}
		}
	}
	return runs, firstErr
}

const resultsDirMode = 0o755

// runVariant simulates a variant with a seed, in a directory of its own.
func runVariant(ctx context.Context, scenario *Scenario, options Options, variant Variant, seed uint64) (*Result, error) {
	scenario, err := scenario.withVariant(variant, seed)
	if err != nil {
		return nil, fmt.Errorf("variant %s: %w", variant.Name, err)
	}
	options.Dir = filepath.Join(options.Dir, fmt.Sprintf("%s-%d", variant.Name, seed))
	if err := os.MkdirAll(options.Dir, resultsDirMode); err != nil {
		return nil, err
	}
	return Run(ctx, scenario, options)
}

// withVariant returns a copy of the scenario with a variant's operator settings and a seed.
func (s *Scenario) withVariant(variant Variant, seed uint64) (*Scenario, error) {
	settings := map[string]any{}
	if len(s.Operator) > 0 {
		if err := json.Unmarshal(s.Operator, &settings); err != nil {
			return nil, err
		}
	}
	for field, value := range variant.Operator {
		settings[field] = value
	}
	operator, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	changed := *s
	changed.Sweep, changed.Operator, changed.Seed = nil, operator, seed
	changed.Name = fmt.Sprintf("%s, %s, seed %d", s.Name, variant.Name, seed)
	return &changed, nil
}
