package config

import (
	"errors"
	"fmt"
	"math"
)

// Regions are the regions that share the teams' quotas, each with controllers and a key-value store of its own. All of them
// have the same list, in the same order.
type Regions struct {
	Name string   `json:"name"` // of this one; empty: quotas are not divided
	All  []Region `json:"all"`
}

// Region is one of them.
type Region struct {
	Name string `json:"name"`
	// Share of each quota that it begins with, from 0 to 1.
	Share float64 `json:"part"`
	// Controllers are the internal addresses of its controllers.
	Controllers []string `json:"controllers"`
}

// Enabled tells whether quotas are divided among regions.
func (r *Regions) Enabled() bool { return r.Name != "" }

// Others names the other regions.
func (r *Regions) Others() []string {
	var names []string
	for _, region := range r.All {
		if region.Name != r.Name {
			names = append(names, region.Name)
		}
	}
	return names
}

// Other tells whether there is another region of a name.
func (r *Regions) Other(name string) bool {
	for _, region := range r.All {
		if region.Name == name {
			return name != r.Name
		}
	}
	return false
}

// shareTolerance is by how much the shares of all regions may differ from 1 for rounding.
const shareTolerance = 1e-9

// validate checks what the schema can't express.
func (r *Regions) validate() error {
	if !r.Enabled() {
		if len(r.All) > 0 {
			return errors.New("/regions/name: is missing")
		}
		return nil
	}
	seen, sum := map[string]bool{}, 0.0
	for i, region := range r.All {
		if seen[region.Name] {
			return fmt.Errorf("/regions/all/%d/name: %q is used twice", i, region.Name)
		}
		seen[region.Name] = true
		sum += region.Share
		if err := region.checkControllers(); err != nil {
			return fmt.Errorf("/regions/all/%d/controllers%w", i, err)
		}
	}
	if !seen[r.Name] {
		return fmt.Errorf("/regions/name: %q is not among the regions", r.Name)
	}
	if math.Abs(sum-1) > shareTolerance {
		return fmt.Errorf("/regions/all: the parts add up to %v, not to 1", sum)
	}
	return nil
}

func (r *Region) checkControllers() error {
	if len(r.Controllers) == 0 {
		return errors.New(": there is none")
	}
	for i, addr := range r.Controllers {
		if err := checkAddress(addr); err != nil {
			return fmt.Errorf("/%d: %w", i, err)
		}
	}
	return nil
}
