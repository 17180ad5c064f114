package core

import (
	"time"

	"bitternwing/internal/outcome"
	"bitternwing/internal/wire"
)

// catalogRefreshLags is how often a leader reads the catalog, in the list lags of the cloud.
const catalogRefreshLags = 30

// machineCatalog is the machine types that the cloud offers. They change seldom; prices drift, so a leader reads them
// again now and then. The catalog is kept in the key-value store too, so that a node can admit submissions while the
// cloud is down.
type machineCatalog struct {
	core        *Core
	types       []wire.MachineType // nil: not known yet
	refreshedAt time.Duration
	inFlight    bool
}

// known tells whether the machine types are known.
func (m *machineCatalog) known() bool { return m.types != nil }

// machineType gives a machine type by name; nil if there is none.
func (m *machineCatalog) machineType(name string) *wire.MachineType {
	for i := range m.types {
		if m.types[i].Name == name {
			return &m.types[i]
		}
	}
	return nil
}

// run reads the catalog when that is due.
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
