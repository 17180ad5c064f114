package core

import (
	"time"

	"bitternwing/internal/outcome"
	"bitternwing/internal/wire"
)

// catalogRefreshLags is the interval, in list lags of the cloud, at which a leader reads the catalog.
const catalogRefreshLags = 30

// machineCatalog holds the machine types that the cloud offers. The types seldom change, but prices drift, so a leader
// reads the catalog periodically. It is also stored in the key-value store, so that a node can admit submissions while
// the cloud is down.
type machineCatalog struct {
	core        *Core
	types       machineTypes // nil until known
	refreshedAt time.Duration
	inFlight    bool
}

// known reports whether the machine types are known.
func (m *machineCatalog) known() bool { return m.types != nil }

// machineTypes are the machine types of a catalog.
type machineTypes []wire.MachineType

// byName returns a machine type by name; nil if there is none.
func (types machineTypes) byName(name string) *wire.MachineType {
	for i := range types {
		if types[i].Name == name {
			return &types[i]
		}
	}
	return nil
}

// machineType returns a machine type by name; nil if there is none.
func (m *machineCatalog) machineType(name string) *wire.MachineType { return m.types.byName(name) }

// run reads the catalog if it is due.
func (m *machineCatalog) run() {
	c := m.core
	if m.inFlight || !c.cache.Ready() {
		return
	}
	if !m.known() && c.cache.Catalog() != nil {
		m.types = c.cache.Catalog()
		m.refreshedAt = c.now.Steady
	}
	interval := catalogRefreshLags * c.times.listLag
	if !m.known() {
		interval = c.times.storeProbeInterval
	} else if c.leader == nil {
		return
	}
	if due := m.refreshedAt + interval; m.refreshedAt != 0 && c.now.Steady < due {
		c.wakeBy(due)
		return
	}
	m.inFlight = true
	m.refreshedAt = c.now.Steady
	id := c.registerCall(m.applyResult)
	c.emit(CloudCatalog{CallID: id})
}

func (m *machineCatalog) applyResult(r Result) {
	m.inFlight = false
	if r.Outcome == outcome.OK && len(r.Catalog.Types) > 0 {
		m.types = r.Catalog.Types
	}
}
