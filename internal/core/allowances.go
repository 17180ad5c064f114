package core

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"bitternwing/internal/allowance"
	"bitternwing/internal/call"
	"bitternwing/internal/config"
	"bitternwing/internal/wire"
)

// allowances keeps a leader within what its region holds of the teams' limits and guarantees, hands parts of it to
// regions that lack them, and asks for what its own work lacks. An account is committed before anybody acts by it.
type allowances struct {
	l     *leader
	at    time.Duration
	teams map[string]*teamAllowance
}

// teamAllowance is a team's allowance while a leader goes by it.
type teamAllowance struct {
	// effective is the team with the limits and guarantees that may be gone by now; jobs of the team point to it.
	effective config.Team
	whole     allowance.Share
	key       string
	account   *allowance.Account // as it is stored; nil: it is not there, or can't be read
	version   uint64
	// unsettled are accounts that were sent to be written and may yet be: the least of all counts.
	unsettled []*allowance.Account
	writing   bool
	retryAt   time.Duration

	asks       []AskAllowance
	deliveries []DeliverAllowance
	delivering map[string]bool // a transfer is on its way to these regions
	asking     bool
	nextRegion int // that is asked
	askAt      time.Duration
	attempts   int
	differs    bool // a region has another limit of the team
}

// nothingAllowed is what a limit is set to where nothing of it is held: a limit of 0 would mean that there is none.
const nothingAllowed = 1e-6

// newAllowances takes the teams up; nobody has an allowance before its account is read.
func newAllowances(l *leader) *allowances {
	a := &allowances{l: l, teams: map[string]*teamAllowance{}}
	if !l.c.op.Regions.Enabled() {
		return a
	}
	for _, team := range l.c.set.Params.Teams {
		t := &teamAllowance{effective: team, key: allowanceKey(team.Name), delivering: map[string]bool{},
			whole: allowance.Share{Limit: allowance.AtMost(team.GPUsMax, team.CPUsMax), Guarantee: allowance.AtMost(team.GPUs, team.CPUs)}}
		t.goBy(allowance.Share{}, team)
		a.teams[team.Name] = t
	}
	return a
}

// regionParts gives the regions with the part of each limit that they begin with.
func (c *Core) regionParts() []allowance.Region {
	var parts []allowance.Region
	for _, r := range c.op.Regions.All {
		parts = append(parts, allowance.Region{Name: r.Name, Part: r.Part})
	}
	return parts
}

// teamOf gives the limits and guarantees that a job's team may go by in this region.
func (l *leader) teamOf(name string) *config.Team {
	if t := l.allowances.teams[name]; t != nil {
		return &t.effective
	}
	return l.c.team(name)
}

// goBy sets the effective limits and guarantees to what is held; where the whole has none there is none.
func (t *teamAllowance) goBy(held allowance.Share, team config.Team) {
	part := func(whole, held float64) float64 {
		if whole == 0 {
			return 0
		}
		return max(held, nothingAllowed)
	}
	limitGPUs, limitCPUs := held.Limit.Float()
	guaranteeGPUs, guaranteeCPUs := held.Guarantee.Float()
	t.effective.GPUsMax, t.effective.CPUsMax = part(team.GPUsMax, limitGPUs), part(team.CPUsMax, limitCPUs)
	t.effective.GPUs, t.effective.CPUs = part(team.GPUs, guaranteeGPUs), part(team.CPUs, guaranteeCPUs)
}

// held gives what may be gone by: the least of what is stored and of what may yet be.
func (t *teamAllowance) held() allowance.Share {
	if t.account == nil {
		return allowance.Share{}
	}
	held := t.account.Held
	for _, a := range t.unsettled {
		held = held.Min(a.Held)
	}
	return held
}

// run looks after all accounts.
func (a *allowances) run() {
	c := a.l.c
	if len(a.teams) == 0 {
		return
	}
	a.readStored()
	if c.now.Steady < a.at {
		c.at(a.at)
		return
	}
	a.at = c.now.Steady + c.t.moment
	c.at(a.at)
	mayWrite := c.elect.inTime() && !c.stateDown
	needs := a.needs()
	for _, name := range slices.Sorted(maps.Keys(a.teams)) {
		t := a.teams[name]
		if !mayWrite {
			t.refuse(c)
			continue
		}
		if !t.writing && c.now.Steady >= t.retryAt {
			a.write(name, t, needs[name])
		}
		if t.account != nil {
			a.deliver(name, t)
			a.ask(name, t, needs[name])
		}
	}
}

// readStored takes in the accounts as the watch shows them.
func (a *allowances) readStored() {
	for _, t := range a.teams {
		stored := a.l.c.dir.accounts[t.key]
		if stored == nil || stored.version <= t.version {
			continue
		}
		if stored.problem != nil {
			a.l.c.log(Error, "a team's allowance can't be read: nothing of the team is started", "key", t.key, "error", stored.problem.Error())
		}
		a.take(t, stored.account, stored.version)
	}
}

// take goes by an account as it is stored. What was sent to be written before can't be applied any more.
func (a *allowances) take(t *teamAllowance, account *allowance.Account, version uint64) {
	t.account, t.version, t.unsettled = account, version, nil
	a.refresh(t)
}

// refresh brings the effective limits up to date, and has a round held.
func (a *allowances) refresh(t *teamAllowance) {
	before := t.effective
	if team := a.l.c.team(t.effective.Name); team != nil {
		t.goBy(t.held(), *team)
	}
	if before != t.effective {
		a.l.wantRound()
	}
}

// teamNeed is what a team's work takes in this region: what its tasks use, and what it could use beyond that.
type teamNeed struct{ used, waiting allowance.Amount }

// needs works out what the teams' work takes. Each placement counts as used until there is evidence of its end.
func (a *allowances) needs() map[string]teamNeed {
	type sum struct{ usedGPUs, usedCPUs, allGPUs, allCPUs float64 }
	sums := map[string]*sum{}
	for _, j := range a.l.jobs {
		s := sums[j.spec.Team]
		if s == nil {
			s = &sum{}
			sums[j.spec.Team] = s
		}
		placed, all := float64(len(j.placed)), float64(len(j.placed))
		if j.queued && !j.cancelled && !j.final && !j.held {
			all = max(all, float64(j.unfinished()))
		}
		s.usedGPUs, s.usedCPUs = s.usedGPUs+placed*j.spec.GPUs, s.usedCPUs+placed*j.spec.CPUs
		s.allGPUs, s.allCPUs = s.allGPUs+all*j.spec.GPUs, s.allCPUs+all*j.spec.CPUs
	}
	needs := map[string]teamNeed{}
	for team, s := range sums {
		used := allowance.AtLeast(s.usedGPUs, s.usedCPUs)
		needs[team] = teamNeed{used: used, waiting: allowance.AtLeast(s.allGPUs, s.allCPUs).Minus(used)}
	}
	return needs
}

// all gives the share that all of a team's work takes.
func (n teamNeed) all() allowance.Share {
	sum := n.used.Plus(n.waiting)
	return allowance.Share{Limit: sum, Guarantee: sum}
}

// kept gives what a region keeps when another one asks: what is used, and of the rest what its own waiting work takes,
// but no more than half. So neither region's work waits for all of the other's.
func (n teamNeed) kept(held allowance.Share) allowance.Share {
	keep := func(held allowance.Amount) allowance.Amount {
		free := held.Minus(n.used)
		return n.used.Plus(n.waiting.Min(allowance.Amount{GPUs: free.GPUs / 2, CPUs: free.CPUs / 2}))
	}
	return allowance.Share{Limit: keep(held.Limit), Guarantee: keep(held.Guarantee)}
}

// write commits the first change that an account waits for: the beginning, transfers that came in, requests of others.
func (a *allowances) write(name string, t *teamAllowance, need teamNeed) {
	c := a.l.c
	switch {
	case t.account == nil && c.dir.accounts[t.key] == nil && c.dir.termForm < regionsTerm:
		a.l.guard.want(regionsTerm)
	case t.account == nil && c.dir.accounts[t.key] == nil:
		a.commit(t, allowance.Initial(t.whole, c.regionParts(), c.op.Regions.Name), func(Result) {})
	case t.account == nil:
		t.refuse(c) // it can't be read
	case len(t.deliveries) > 0:
		a.takeDelivery(t)
	case len(t.asks) > 0:
		a.grant(name, t, need)
	case len(t.unsettled) > 0:
		a.commit(t, t.account, func(Result) {}) // so that what was sent before can't be applied any more
	}
}

// takeDelivery commits a transfer that came in, and then says so.
func (a *allowances) takeDelivery(t *teamAllowance) {
	c, in := a.l.c, t.deliveries[0]
	t.deliveries = t.deliveries[1:]
	next, receipt := t.account.Take(in.Transfer)
	switch receipt {
	case allowance.OutOfOrder:
		c.later(in.Req, 503, transferFirst)
	case allowance.Known:
		c.answer(in.Req, 200, nil)
	case allowance.Taken:
		a.commit(t, next, func(r Result) { c.confirm(in.Req, r) })
	}
}

// grant commits a transfer to a region that asks, if there is something to give.
func (a *allowances) grant(name string, t *teamAllowance, need teamNeed) {
	c, in := a.l.c, t.asks[0]
	t.asks = t.asks[1:]
	next := t.account.Give(c.op.Regions.Name, in.From, in.Share, need.kept(t.held()))
	if next == nil {
		c.answer(in.Req, 200, nil)
		return
	}
	c.log(Debug, "allowance given", "team", name, "region", in.From, "gpus", next.Outgoing[len(next.Outgoing)-1].Share.Limit.GPUs)
	a.commit(t, next, func(r Result) { c.confirm(in.Req, r) })
}

// confirm answers a region whose message took a commit.
func (c *Core) confirm(req uint64, r Result) {
	if r.Outcome == call.OK {
		c.answer(req, 200, nil)
		return
	}
	c.later(req, 503, notAvailable)
}

// commit writes an account, on the term and on what it was before. Until that is settled the lesser of both counts.
func (a *allowances) commit(t *teamAllowance, next *allowance.Account, then func(Result)) {
	l := a.l
	value, err := json.Marshal(next)
	if err != nil {
		return
	}
	t.writing = true
	t.unsettled = append(t.unsettled, next)
	a.refresh(t)
	l.writes.tokens--
	id := l.stateCall(func(r Result) {
		t.writing = false
		a.written(t, next, r)
		then(r)
	})
	l.c.send(StateTxn{ID: id, Txn: wire.Txn{
		If:   []wire.Cond{{Key: keyTerm, Version: l.version}, {Key: t.key, Version: t.version}},
		Then: []wire.Op{{Put: t.key, Value: value}},
	}})
}

// written takes what became of a write of an account.
func (a *allowances) written(t *teamAllowance, next *allowance.Account, r Result) {
	c := a.l.c
	switch {
	case r.Outcome == call.OK:
		a.take(t, next, r.Txn.Revision)
	case r.Outcome == call.Conflict && slices.Contains(r.Txn.Failed, keyTerm):
		c.elect.stepDown("the term moved on")
	case r.Outcome == call.Conflict, r.Outcome == call.Unknown:
		a.reread(t)
	default:
		// It was certainly not carried out.
		t.unsettled = t.unsettled[:len(t.unsettled)-1]
		a.refresh(t)
		t.retryAt = c.now.Steady + c.t.retry
	}
}

// reread finds out how an account stands. One that is as it was may yet be changed by the write in doubt.
func (a *allowances) reread(t *teamAllowance) {
	c := a.l.c
	t.writing = true
	id := a.l.stateCall(func(r Result) {
		t.writing = false
		t.retryAt = c.now.Steady + c.t.retry
		if r.Outcome == call.OK && r.Item.Version > t.version {
			c.dir.accounts.apply(t.key, r.Item.Value, r.Item.Version)
			a.readStored()
		}
	})
	c.send(StateGet{ID: id, Key: t.key})
}

// deliver sends the transfers that are on their way, the oldest to each region, until their receivers have them.
func (a *allowances) deliver(name string, t *teamAllowance) {
	c := a.l.c
	for _, transfer := range t.account.Outgoing {
		to := transfer.To
		if t.delivering[to] {
			continue
		}
		t.delivering[to] = true
		t.attempts++
		id := a.l.call(func(r Result) {
			delete(t.delivering, to)
			if r.Outcome == call.OK {
				a.settle(t, to, transfer.Number)
			}
		})
		c.send(RegionCall{ID: id, Region: to, Attempt: t.attempts, Deliver: &DeliverAllowance{Team: name, Whole: t.whole, Transfer: transfer}})
	}
}

// settle takes a transfer out of the account whose receiver has it. A write that can't be made now is made after the next
// delivery, which the receiver knows already.
func (a *allowances) settle(t *teamAllowance, to string, number uint64) {
	c := a.l.c
	if t.writing || t.account == nil || !c.elect.inTime() || c.stateDown {
		return
	}
	if next := t.account.Settle(to, number); next != t.account {
		a.commit(t, next, func(Result) {})
	}
}

// ask asks the other regions, one after the other, for what this one's work lacks.
func (a *allowances) ask(name string, t *teamAllowance, need teamNeed) {
	c := a.l.c
	missing := t.account.Missing(need.all())
	others := c.op.Regions.Others()
	if missing.Zero() || t.asking || c.now.Steady < t.askAt || len(others) == 0 {
		return
	}
	t.asking = true
	t.attempts++
	region := others[t.nextRegion%len(others)]
	t.nextRegion++
	id := a.l.call(func(Result) {
		t.asking = false
		t.askAt = c.now.Steady + c.t.heartbeat
	})
	c.send(RegionCall{ID: id, Region: region, Attempt: t.attempts,
		Ask: &AskAllowance{From: c.op.Regions.Name, Team: name, Whole: t.whole, Share: missing}})
}

// refuse tells the regions whose messages wait to come back.
func (t *teamAllowance) refuse(c *Core) {
	for _, in := range t.asks {
		c.later(in.Req, 503, notAvailable)
	}
	for _, in := range t.deliveries {
		c.later(in.Req, 503, notAvailable)
	}
	t.asks, t.deliveries = nil, nil
}

// refuseWaiting tells all regions whose messages wait to come back, at the end of this term.
func (a *allowances) refuseWaiting() {
	for _, name := range slices.Sorted(maps.Keys(a.teams)) {
		a.teams[name].refuse(a.l.c)
	}
}
