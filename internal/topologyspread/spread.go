// Package topologyspread weighs the time to load a model's weights against the expected loss of replicas if a zone or a
// machine fails. Both are in seconds of replica time. The package is pure.
package topologyspread

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Model is what is spread: the replicas of all services of a team with the same image.
type Model struct{ Team, Image string }

// counter counts replicas by failure domain, and keeps the highest count of any.
type counter struct {
	at      map[string]int
	byCount map[int]int // how many domains have so many replicas
	worst   int
}

func newCounter() counter { return counter{at: map[string]int{}, byCount: map[int]int{}} }

// change adds replicas to a domain, or with a negative number removes them.
func (c *counter) change(domain string, by int) {
	before := c.at[domain]
	after := before + by
	c.move(before, -1)
	c.move(after, 1)
	if c.at[domain] = after; after == 0 {
		delete(c.at, domain)
	}
	c.worst = max(c.worst, after)
	for c.worst > 0 && c.byCount[c.worst] == 0 {
		c.worst--
	}
}

// move counts a domain among those with so many replicas, or no longer.
func (c *counter) move(replicas, by int) {
	if replicas == 0 {
		return
	}
	if c.byCount[replicas] += by; c.byCount[replicas] == 0 {
		delete(c.byCount, replicas)
	}
}

// replicas are the replicas of a model.
type replicas struct {
	zones, machines counter
	total           int
}

// Ledger counts the replicas of all models by zone and machine. It is updated incrementally.
type Ledger struct {
	models  map[Model]*replicas
	changes uint64
}

// Changes is the number of changes so far.
func (l *Ledger) Changes() uint64 { return l.changes }

// NewLedger makes a ledger without replicas.
func NewLedger() *Ledger { return &Ledger{models: map[Model]*replicas{}} }

// Add counts a replica on a machine. If its zone is not known ("") it counts in none.
func (l *Ledger) Add(m Model, zone, machine string) { l.change(m, zone, machine, 1) }

// Remove no longer counts a replica on a machine.
func (l *Ledger) Remove(m Model, zone, machine string) { l.change(m, zone, machine, -1) }

// Move counts a replica in another zone, when its machine's zone becomes known.
func (l *Ledger) Move(m Model, from, to, machine string) {
	l.Remove(m, from, machine)
	l.Add(m, to, machine)
}

func (l *Ledger) change(m Model, zone, machine string, by int) {
	l.changes++
	r := l.models[m]
	if r == nil {
		r = &replicas{zones: newCounter(), machines: newCounter()}
		l.models[m] = r
	}
	if zone != "" {
		r.zones.change(zone, by)
	}
	r.machines.change(machine, by)
	if r.total += by; r.total == 0 {
		delete(l.models, m)
	}
}

// Replicas gives how many replicas a model has, and the most of them in a single zone and on a single machine.
func (l *Ledger) Replicas(m Model) (total, worstZone, worstMachine int) {
	r := l.models[m]
	if r == nil {
		return 0, 0, 0
	}
	return r.total, r.zones.worst, r.machines.worst
}

// Models is the number of models that have replicas.
func (l *Ledger) Models() int { return len(l.models) }

// Rates are the expected failures, and the expected life of a placement.
type Rates struct {
	ZoneLossesPerDay    float64
	MachineLossesPerDay float64
	ReplicaDays         float64
}

// Fleet is the number of failure domains over which a model's replicas can be spread.
type Fleet struct{ Zones, Machines int }

// Costs are the expected losses of placing a model's next replica. The failure of a zone takes at least the balanced share:
// all replicas over the number of zones, rounded up. Only what a zone has above that is a loss that could be avoided and
// costs something. The same holds for machines.
type Costs struct {
	replicas       *replicas
	zoneShare      int
	machineShare   int
	excessZoneS    float64 // of one replica above the share of a zone
	excessMachineS float64 // the same of a machine
	fullestZone    int
}

// CostsFor gives the costs of a model's next replica. recovery is how long a replica is lost: until its loss is detected and
// its weights are loaded elsewhere.
func (l *Ledger) CostsFor(m Model, rates Rates, fleet Fleet, recovery time.Duration) Costs {
	lossS := rates.ReplicaDays * recovery.Seconds()
	w := Costs{replicas: l.models[m], excessZoneS: rates.ZoneLossesPerDay * lossS, excessMachineS: rates.MachineLossesPerDay * lossS}
	total := 1
	if w.replicas != nil {
		total += w.replicas.total
		w.fullestZone = w.replicas.zones.worst
	}
	w.zoneShare, w.machineShare = share(total, fleet.Zones), share(total, fleet.Machines)
	return w
}

// share gives the highest count of a domain if replicas are balanced.
func share(total, domains int) int {
	domains = max(1, domains)
	return (total + domains - 1) / domains
}

// ZoneS gives the expected loss of one more replica in a zone, as far as that takes the zone beyond the balanced share. A zone
// that is not known counts as the fullest.
func (w Costs) ZoneS(zone string) float64 {
	there := 0
	switch {
	case w.replicas == nil:
	case zone == "":
		there = w.fullestZone
	default:
		there = w.replicas.zones.at[zone]
	}
	return w.excessZoneS * float64(max(0, there+1-w.zoneShare))
}

// Crowded tells whether one more replica on a machine is beyond the balanced share. That costs MachineS.
func (w Costs) Crowded(machine string) bool {
	return w.replicas != nil && w.replicas.machines.at[machine] >= w.machineShare
}

// MachineS gives the expected loss of one more replica on a crowded machine.
func (w Costs) MachineS() float64 { return w.excessMachineS }

// OverfullZone gives the fullest zone of a model, if it has more than the balanced share and another one could take a replica
// without becoming as full; "" otherwise. Each move from there reduces the sum of squares of the zones' counts, so moves
// terminate.
func (l *Ledger) OverfullZone(m Model, zones []string) string {
	r := l.models[m]
	if r == nil {
		return ""
	}
	fullest, least := "", r.total
	for _, zone := range zones {
		n := r.zones.at[zone]
		least = min(least, n)
		if fullest == "" || n > r.zones.at[fullest] {
			fullest = zone
		}
	}
	if n := r.zones.at[fullest]; n <= share(r.total, len(zones)) || least > n-2 {
		return ""
	}
	return fullest
}

// All gives the models that have replicas, sorted.
func (l *Ledger) All() []Model {
	return slices.SortedFunc(maps.Keys(l.models), func(a, b Model) int {
		return cmp.Or(strings.Compare(a.Team, b.Team), strings.Compare(a.Image, b.Image))
	})
}

// LoadSeconds gives how long a replica is expected to wait for its weights, by the state of its image. One that is being
// fetched takes half of its time on average; one that shares the machine's fetch rate with another takes twice as long.
func LoadSeconds(imageState int, coldS float64) float64 {
	return coldS * [...]float64{imageReady: 0, imageFetching: 0.5, imageAbsent: 1, imageFetchShared: 2}[imageState]
}

// The image states, in the order of package capacity.
const (
	imageReady = iota
	imageFetching
	imageAbsent
	imageFetchShared
)
