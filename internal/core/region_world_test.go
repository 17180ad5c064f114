package core_test

import (
	"fmt"
	"slices"
	"time"

	"bitternwing/internal/config"
	"bitternwing/internal/core"
	"bitternwing/internal/outcome"
	"bitternwing/internal/quota"
	"bitternwing/internal/wire"
)

// regionWorld is several regions, each with three controllers, a state service and machines of its own, that share the
// limits of two teams. At each step it checks that no team uses more than its limit in all regions together, and that
// what the regions hold of it and what is on its way add up to the whole.
type regionWorld struct {
	t       reporter
	regions []*worldRegion
	// cut tells whether messages from one region to another are lost.
	cut      map[[2]int]bool
	repeat   bool // messages come twice, the second time late
	messages []regionMessage
	jobs     int
	machines int // in each region

	overshoot float64 // the most GPUs that a team used beyond its limit
	transfers int     // messages of transfers
}

// worldRegion is one of the regions.
type worldRegion struct {
	*scaleCluster
	stateTroubles
	number  int
	limit   float64                        // of each team, by its settings
	pending map[uint64]func(core.Response) // answers that other regions wait for
	waiting []string                       // jobs that are not known to be accepted: users hand them in again
	askedAt time.Duration                  // when they did
}

// regionMessage is a message on its way to a region.
type regionMessage struct {
	due      time.Duration
	to       int
	node     int
	input    func(req uint64) core.Input
	answered func(got outcome.Outcome)
}

const (
	regionGuarantee = 24 // GPUs of each team
	regionLimit     = 48
	regionLatency   = 40 * time.Millisecond
	regionMachines  = 16 // of 8 GPUs each
)

func regionName(i int) string { return fmt.Sprintf("region-%d", i) }

// newRegionWorld has regions with equal parts of two teams' limits, and room for both limits in each.
func newRegionWorld(t reporter, regions int) *regionWorld {
	return newRegionWorldOf(t, regions, regionMachines)
}

// newRegionWorldOf has so many machines in each region.
func newRegionWorldOf(t reporter, regions, machines int) *regionWorld {
	w := &regionWorld{t: t, cut: map[[2]int]bool{}, machines: machines}
	for i := range regions {
		w.regions = append(w.regions, w.newRegion(i, regions))
	}
	w.advance(15 * time.Second)
	return w
}

func (w *regionWorld) newRegion(number, regions int) *worldRegion {
	r := &worldRegion{scaleCluster: newScaleCluster(w.t, 3, 0), number: number, limit: regionLimit, pending: map[uint64]func(core.Response){}}
	r.digest = newOutputDigest()
	r.op.IdleBoots = 100
	r.op.Regions = config.Regions{Name: regionName(number)}
	for i := range regions {
		r.op.Regions.All = append(r.op.Regions.All, config.Region{Name: regionName(i), Share: 1 / float64(regions)})
	}
	r.adjust = func(p *config.Params) {
		p.Teams = []config.Team{{Name: "t1", GuaranteedGPUs: regionGuarantee, MaxGPUs: r.limit}, {Name: "t2", GuaranteedGPUs: regionGuarantee, MaxGPUs: r.limit}}
	}
	r.intercept = func(n *scaleNode, e core.Effect) (core.Result, bool) {
		if e, ok := e.(core.CallRegion); ok {
			w.send(r, n, e)
			return core.Result{}, false
		}
		return r.interceptState(n.name, r.store, e)
	}
	r.onAnswer = func(a core.Response) bool {
		answered := r.pending[a.RequestID]
		delete(r.pending, a.RequestID)
		if answered != nil {
			answered(a)
		}
		return answered != nil
	}
	r.restart()
	r.have(w.machines, "z1", "z2")
	return r
}

// send puts a message on its way, and a copy where messages are repeated.
func (w *regionWorld) send(from *worldRegion, n *scaleNode, e core.CallRegion) {
	to := slices.IndexFunc(w.regions, func(r *worldRegion) bool { return regionName(r.number) == e.Region })
	if to < 0 {
		return // it is being set up
	}
	if e.Deliver != nil {
		w.transfers++
	}
	process, sent, over := n.core, from.now, false
	message := regionMessage{due: from.now + regionLatency, to: to, node: e.Attempt % 3, input: func(req uint64) core.Input {
		if e.Request != nil {
			ask := *e.Request
			ask.RequestID = req
			return ask
		}
		deliver := *e.Deliver
		deliver.RequestID = req
		return deliver
	}, answered: func(got outcome.Outcome) {
		// The answer goes back to the process that asked, if it is still there.
		if n.core == process && !over {
			over = true
			if w.cut[[2]int{to, from.number}] {
				got = outcome.Unknown
			}
			n.results = append(n.results, core.Result{CallID: e.CallID, Outcome: got, SentAt: sent})
		}
	}}
	if w.cut[[2]int{from.number, to}] {
		w.messages = append(w.messages, regionMessage{due: from.now + 3*time.Second, to: -1, answered: message.answered})
		return
	}
	w.messages = append(w.messages, message)
	if w.repeat {
		late := message
		late.due += 5 * time.Second
		w.messages = append(w.messages, late)
	}
}

// carry brings the messages that are due to their regions.
func (w *regionWorld) carry() {
	now := w.regions[0].now
	due := slices.DeleteFunc(slices.Clone(w.messages), func(m regionMessage) bool { return m.due > now })
	w.messages = slices.DeleteFunc(w.messages, func(m regionMessage) bool { return m.due <= now })
	for _, m := range due {
		if m.to < 0 {
			m.answered(outcome.Unknown) // its time is over
			continue
		}
		r := w.regions[m.to]
		r.hear(r.nodes[m.node], m, false)
	}
}

// hear hands a message to a node, which names the leader if it is not the one.
func (r *worldRegion) hear(n *scaleNode, m regionMessage, relayed bool) {
	if n.name == r.frozen {
		m.answered(outcome.Unknown)
		return
	}
	r.req++
	req := r.req << 16
	r.pending[req] = func(a core.Response) {
		to, redirected := a.Body.(wire.Redirect)
		leader := slices.IndexFunc(r.nodes, func(x *scaleNode) bool { return redirected && x.name == to.Leader })
		switch {
		case a.Status == 200:
			m.answered(outcome.OK)
		case leader >= 0 && !relayed:
			r.hear(r.nodes[leader], m, true)
		default:
			m.answered(outcome.Unknown)
		}
	}
	r.step(n, m.input(req))
}

// advance lets time pass in all regions, and checks at each step.
func (w *regionWorld) advance(d time.Duration) {
	w.t.Helper()
	for end := w.regions[0].now + d; w.regions[0].now < end; {
		for _, r := range w.regions {
			r.pass(scaleStep)
		}
		w.carry()
		w.check()
		for _, r := range w.regions {
			r.resubmit()
		}
	}
}

// submit has users hand in services of one task in a region.
func (w *regionWorld) submit(region int, team string, tasks int, gpus float64) []string {
	var ids []string
	r := w.regions[region]
	for range tasks {
		w.jobs++
		id := fmt.Sprintf("run-%06d", w.jobs)
		r.hand(r.nodes[w.jobs%3], &wire.Job{ID: id, Kind: wire.KindService, Class: "c", Team: team, Tasks: 1, CPUs: 4, GPUs: gpus, MemoryGB: 20,
			Priority: "prod", Image: "img-1", ImageGB: 4})
		ids = append(ids, id)
	}
	r.waiting = append(r.waiting, ids...)
	return ids
}

// submitFor hands in services and waits until all are accepted.
func (w *regionWorld) submitFor(region int, team string, tasks int, gpus float64) []string {
	w.t.Helper()
	ids := w.submit(region, team, tasks, gpus)
	w.until("all are accepted", func() bool { return len(w.regions[region].waiting) == 0 })
	return ids
}

// resubmit has users hand in once a second what is not accepted.
func (r *worldRegion) resubmit() {
	if r.now < r.askedAt+time.Second {
		return
	}
	r.askedAt = r.now
	r.waiting = slices.DeleteFunc(r.waiting, r.accepted)
	for _, id := range r.waiting {
		r.hand(r.nodes[int(r.now/time.Second)%3], r.specs[id])
	}
}

// accepted tells whether a job is there, or was.
func (r *worldRegion) accepted(id string) bool {
	_, active := r.store.Get("w/a/" + id)
	_, ended := r.store.Get("f/" + id)
	return active == outcome.OK || ended == outcome.OK
}

// cancel has users cancel jobs, again until that is written.
func (w *regionWorld) cancel(region int, ids []string) {
	r := w.regions[region]
	for _, id := range ids {
		for range 50 {
			if _, got := r.store.Get("f/" + id); got == outcome.OK {
				break
			}
			r.req++
			r.step(r.nodes[w.jobs%3], core.CancelJob{RequestID: r.req << 16, ID: id})
			w.advance(100 * time.Millisecond)
		}
	}
}

// used adds up what a team's tasks have on the machines of a region.
func (r *worldRegion) used(team string) float64 {
	sum := 0.0
	for task, holder := range r.holders {
		job := r.specs[task[:len("run-000000")]]
		if job.Team == team && !holder.dead && holder.machine.Holds(task) {
			sum += job.GPUs
		}
	}
	return sum
}

// usedBy adds up what a team's tasks have in all regions.
func (w *regionWorld) usedBy(team string) float64 {
	sum := 0.0
	for _, r := range w.regions {
		sum += r.used(team)
	}
	return sum
}

// account gives a team's account as a region's state service holds it; nil: there is none yet.
func (r *worldRegion) account(team string) *quota.Account {
	item, got := r.store.Get("w/q/" + team)
	if got != outcome.OK {
		return nil
	}
	a, err := quota.Decode(item.Value)
	if err != nil {
		r.t.Fatal(err)
	}
	return a
}

// limit gives the limit that is in force: a change is once all regions have it, and until then the higher one counts.
func (w *regionWorld) limit() float64 {
	limit := 0.0
	for _, r := range w.regions {
		limit = max(limit, r.limit)
	}
	return limit
}

// setLimit gives a region's controllers another limit of each team in their settings, and starts them anew.
func (w *regionWorld) setLimit(region int, limit float64) {
	w.regions[region].limit = limit
	for i, n := range w.regions[region].nodes {
		w.regions[region].start(i)
		w.regions[region].step(n, core.Tick{})
	}
	w.advance(8 * time.Second)
}

// check checks the limits, and that nothing of them is lost or made.
func (w *regionWorld) check() {
	w.t.Helper()
	for _, team := range []string{"t1", "t2"} {
		w.overshoot = max(w.overshoot, w.usedBy(team)-w.limit())
		if w.overshoot > 0 {
			w.t.Fatalf("%v: %s uses %g GPUs", w.regions[0].now, team, w.usedBy(team))
		}
		w.checkSum(team)
	}
}

// checkSum checks that the accounts of a team, with what is on its way between them, add up to the whole.
func (w *regionWorld) checkSum(team string) {
	accounts := map[string]*quota.Account{}
	for _, r := range w.regions {
		a := r.account(team)
		if a == nil {
			return
		}
		accounts[regionName(r.number)] = a
	}
	var sum quota.Share
	for _, a := range accounts {
		sum = sum.Plus(a.Held)
		for _, t := range a.Outgoing {
			if accounts[t.To].Received[t.From] < t.Number {
				sum = sum.Plus(t.Share)
			}
		}
	}
	if whole := accounts[regionName(0)].Whole; sum != whole {
		w.t.Fatalf("%v: the regions have %+v of %s, not %+v", w.regions[0].now, sum, team, whole)
	}
}

// until lets time pass until something holds.
func (w *regionWorld) until(what string, holds func() bool) time.Duration {
	w.t.Helper()
	begin := w.regions[0].now
	for range 1200 {
		if holds() {
			return w.regions[0].now - begin
		}
		w.advance(100 * time.Millisecond)
	}
	w.t.Fatalf("never: %s", what)
	return 0
}

// usesAll lets time pass until a team uses all of its limit, and some more, since a late message may yet bring too much.
func (w *regionWorld) usesAll(team string) {
	w.t.Helper()
	w.until("all of the limit is used", func() bool { return w.usedBy(team) == w.limit() })
	w.advance(6 * time.Second)
	if used := w.usedBy(team); used != w.limit() {
		w.t.Fatalf("%s uses %g GPUs a while later", team, used)
	}
}

// cutOff loses, or no longer loses, the messages between a region and all others.
func (w *regionWorld) cutOff(region int, cut bool) {
	for i := range w.regions {
		w.cut[[2]int{region, i}], w.cut[[2]int{i, region}] = cut, cut
	}
}

// heal ends all troubles.
func (w *regionWorld) heal() {
	clear(w.cut)
	w.repeat = false
	for _, r := range w.regions {
		r.endStateTroubles()
		r.settleLate(r.store)
		r.frozen = ""
	}
}
