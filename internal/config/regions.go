package config

import (
	"errors"
	"fmt"
	"math"
)

// Regions lists the regions that share the teams' quotas. Each region has its own controllers and its own key-value
// store. The list is the same in all regions, in the same order.
type Regions struct {
	// Name is the name of this region. If it is empty, quotas are not divided among regions.
	Name string   `json:"name"`
	All  []Region `json:"all"`
}

// Region is a region that shares the teams' quotas.
type Region struct {
	Name string `json:"name"`
	// InitialShare is the share of each quota that the region begins with, from 0 to 1.
	InitialShare float64 `json:"part"`
	// Controllers are the internal addresses of the region's controllers.
	Controllers []string `json:"controllers"`
}

// Enabled reports whether quotas are divided among regions.
func (r *Regions) Enabled() bool { return r.Name != "" }

// Others returns the names of the other regions.
func (r *Regions) Others() []string {
	var names []string
	for _, region := range r.All {
		if region.Name != r.Name {
			names = append(names, region.Name)
		}
	}
	return names
}

// HasOther reports whether name is the name of another region.
func (r *Regions) HasOther(name string) bool {
	for _, region := range r.All {
		if region.Name == name {
			return name != r.Name
		}
	}
	return false
}

// shareTolerance is how far the sum of the regions' initial shares may differ from 1, to allow for rounding.
const shareTolerance = 1e-9

// validate checks the rules that the schema can't express.
func (r *Regions) validate() error {
	if !r.Enabled() {
		if len(r.All) > 0 {
			return errors.New("/regions/name: must be set if regions are listed")
		}
		return nil
	}
	seen, sum := map[string]bool{}, 0.0
	for i, region := range r.All {
		if seen[region.Name] {
			return fmt.Errorf("/regions/all/%d/name: must be unique, %q is used twice", i, region.Name)
		}
		seen[region.Name] = true
		sum += region.InitialShare
		if err := region.checkControllers(); err != nil {
			return fmt.Errorf("/regions/all/%d/controllers%w", i, err)
		}
	}
	if !seen[r.Name] {
		return fmt.Errorf("/regions/name: must be the name of a listed region, is %q", r.Name)
	}
	if math.Abs(sum-1) > shareTolerance {
		return fmt.Errorf("/regions/all: the values of part must add up to 1, add up to %v", sum)
	}
	return nil
}

func (r *Region) checkControllers() error {
	if len(r.Controllers) == 0 {
		return errors.New(": must have at least one address, is empty")
	}
	for i, addr := range r.Controllers {
		if err := checkAddress(addr); err != nil {
			return fmt.Errorf("/%d: %w", i, err)
		}
	}
	return nil
}
