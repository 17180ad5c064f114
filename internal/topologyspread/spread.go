// Package topologyspread weighs what the load of a model's weights costs against what the loss of a zone or a machine would
// take from the model, both in seconds of lost replica time. It is pure.
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

// counter counts replicas by place, and knows the most at a single place without a look at each.
type counter struct {
	at     map[string]int
	places map[int]int // how many places have so many replicas
	worst  int
}

func newCounter() counter { return counter{at: map[string]int{}, places: map[int]int{}} }

// change adds replicas at a place, or takes one away.
func (c *counter) change(place string, by int) {
	before := c.at[place]
	after := before + by
	c.move(before, -1)
	c.move(after, 1)
	if c.at[place] = after; after == 0 {
		delete(c.at, place)
	}
	c.worst = max(c.worst, after)
	for c.worst > 0 && c.places[c.worst] == 0 {
		c.worst--
	}
}

// move counts a place among those with so many replicas, or no longer.
func (c *counter) move(replicas, by int) {
	if replicas == 0 {
		return
	}
	if c.places[replicas] += by; c.places[replicas] == 0 {
		delete(c.places, replicas)
	}
}

// replicas are those of a model.
type replicas struct {
	zones, machines counter
	total           int
}

// Ledger counts the replicas of all models by zone and machine. It is kept up by change.
type Ledger struct {
	models  map[Model]*replicas
	changes uint64
}

// Changes counts the changes so far.
func (l *Ledger) Changes() uint64 { return l.changes }

// NewLedger makes a ledger without replicas.
func NewLedger() *Ledger { return &Ledger{models: map[Model]*replicas{}} }

// Add counts a replica on a machine. A zone that is not known counts nowhere: the replica may be in any of them.
func (l *Ledger) Add(m Model, zone, machine string) { l.change(m, zone, machine, 1) }

// Remove takes a replica off a machine.
func (l *Ledger) Remove(m Model, zone, machine string) { l.change(m, zone, machine, -1) }

// Move counts a replica in another zone: its machine's was not known.
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

// Replicas is how many replicas a model has, and how many of them the loss of its worst zone and of its worst
// machine takes.
func (l *Ledger) Replicas(m Model) (total, worstZone, worstMachine int) {
	r := l.models[m]
	if r == nil {
		return 0, 0, 0
	}
	return r.total, r.zones.worst, r.machines.worst
}

// Models is how many models have replicas.
func (l *Ledger) Models() int { return len(l.models) }

// Rates are the losses that are expected, and for how long a replica stays where it is put.
type Rates struct {
	ZoneLossesPerDay    float64
	MachineLossesPerDay float64
	ReplicaDays         float64
}

// Fleet is what a model's replicas can be spread over.
type Fleet struct{ Zones, Machines int }

// Weigher gives what a place costs a model's next replica. The loss of a zone takes at least the balanced share: all
// replicas over the number of zones, rounded up. What a zone has above that is a loss that could be avoided, and so it
// is with machines.
type Weigher struct {
	replicas      *replicas
	zoneShare     int
	machineShare  int
	zoneS         float64 // for one replica above the share of a zone
	machineS      float64 // the same of a machine
	fullestZoneIs int
}

// Weigh gives a model's weigher. away is how long a replica that was lost is away: until its loss is noticed and
// its weights are loaded elsewhere.
func (l *Ledger) Weigh(m Model, rates Rates, fleet Fleet, away time.Duration) Weigher {
	per := rates.ReplicaDays * away.Seconds()
	w := Weigher{replicas: l.models[m], zoneS: rates.ZoneLossesPerDay * per, machineS: rates.MachineLossesPerDay * per}
	total := 1
	if w.replicas != nil {
		total += w.replicas.total
		w.fullestZoneIs = w.replicas.zones.worst
	}
	w.zoneShare, w.machineShare = share(total, fleet.Zones), share(total, fleet.Machines)
	return w
}

// share gives the most replicas at a place if they are balanced.
func share(total, places int) int {
	places = max(1, places)
	return (total + places - 1) / places
}

// Zone gives the seconds of replica time that one more replica in a zone is expected to lose, by which the loss of the
// zone grows beyond the balanced share. A zone that is not known counts as the fullest.
func (w Weigher) Zone(zone string) float64 {
	there := 0
	switch {
	case w.replicas == nil:
	case zone == "":
		there = w.fullestZoneIs
	default:
		there = w.replicas.zones.at[zone]
	}
	return w.zoneS * float64(max(0, there+1-w.zoneShare))
}

// Crowded tells whether one more replica on a machine is beyond the balanced share. Machine gives what that costs.
func (w Weigher) Crowded(machine string) bool {
	return w.replicas != nil && w.replicas.machines.at[machine] >= w.machineShare
}

// Machine gives the seconds that a crowded machine costs.
func (w Weigher) Machine() float64 { return w.machineS }

// Overfull gives the fullest zone of a model, if it has more than the balanced share while another one could take a
// replica without getting as full; "" if there is none. Each move from there lessens the sum of the squares of the zones'
// replicas, so that moves come to an end.
func (l *Ledger) Overfull(m Model, zones []string) string {
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

// All gives all models that have replicas, in order.
func (l *Ledger) All() []Model {
	return slices.SortedFunc(maps.Keys(l.models), func(a, b Model) int {
		return cmp.Or(strings.Compare(a.Team, b.Team), strings.Compare(a.Image, b.Image))
	})
}

// LoadSeconds gives how long a replica is expected to wait for its weights. An image that is being fetched is there after
// half of its time in the mean; one that shares the machine's rate with another takes twice as long.
func LoadSeconds(warmth int, coldS float64) float64 {
	return coldS * [...]float64{warm: 0, fetching: 0.5, cold: 1, shared: 2}[warmth]
}

// The degrees of warmth, as package capacity orders them.
const (
	warm = iota
	fetching
	cold
	shared
)
