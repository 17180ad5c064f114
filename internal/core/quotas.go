package core

import (
	"time"

	"bitternwing/internal/config"
	"bitternwing/internal/quota"
	"bitternwing/internal/stored"
)

// quotaManager keeps a leader within what its region holds of the teams' limits and guarantees, hands parts of it to
// regions that lack them, and asks for what its own work lacks. An account is committed before anybody acts by it.
type quotaManager struct {
	leader           *leader
	nextCheck        time.Duration
	teams            map[string]*teamQuota
	ordered          []*teamQuota // as the settings have them
	inFlight         int          // writes of accounts
	cacheChangesSeen uint64       // changes of the directory's accounts that were taken in
}

// teamQuota is a team's allowance while a leader goes by it.
type teamQuota struct {
	// effective is the team with the limits and guarantees that may be gone by now; jobs of the team point to it.
	effective config.Team
	settings  *config.Team
	whole     quota.Share    // by the settings
	initial   *quota.Account // with which this region would begin
	key       string
	account   *quota.Account // as it is stored; nil: it is not there, or can't be read
	version   uint64
	// indeterminate are accounts that were sent to be written and may yet be: the least of all counts.
	indeterminate []*quota.Account
	writeInFlight bool
	retryAt       time.Duration

	requests        []RequestQuota
	deliveries      []DeliverQuota
	delivering      map[string]bool // a transfer is on its way to these regions
	requestInFlight bool
	nextRegion      int // that is asked
	nextRequest     time.Duration
	requestCount    int // times, since something came last
	attempts        int
	regionDisagrees bool // a region has another limit of the team
}

// zeroLimit is what a limit is set to where nothing of it is held: a limit of 0 would mean that there is none.
const zeroLimit = 1e-6

// newQuotaManager takes the teams up; nobody has an allowance before its account is read.
func newQuotaManager(l *leader) *quotaManager {
	a := &quotaManager{leader: l, teams: map[string]*teamQuota{}}
	if !l.core.operator.Regions.Enabled() {
		return a
	}
	parts := l.core.regionShares()
	for i := range l.core.settings.Params.Teams {
		team := &l.core.settings.Params.Teams[i]
		t := &teamQuota{effective: *team, settings: team, key: stored.QuotaAccountKey(team.Name), delivering: map[string]bool{},
			whole: quota.Share{Limit: quota.RoundDown(team.MaxGPUs, team.MaxCPUs), Guarantee: quota.RoundDown(team.GuaranteedGPUs, team.GuaranteedCPUs)}}
		t.initial = quota.Initial(t.whole, parts, l.core.operator.Regions.Name)
		t.setEffective(quota.Share{})
		a.teams[team.Name] = t
		a.ordered = append(a.ordered, t)
	}
	return a
}

// regionShares gives the regions with the part of each limit that they begin with.
func (c *Core) regionShares() []quota.Region {
	var parts []quota.Region
	for _, r := range c.operator.Regions.All {
		parts = append(parts, quota.Region{Name: r.Name, Share: r.Share})
	}
	return parts
}

// teamOf gives the limits and guarantees that a job's team may go by in this region.
func (l *leader) teamOf(name string) *config.Team {
	if t := l.quotas.teams[name]; t != nil {
		return &t.effective
	}
	return l.core.team(name)
}

// setEffective sets the effective limits and guarantees to what is held; where the whole has none there is none.
func (t *teamQuota) setEffective(held quota.Share) {
	team := t.settings
	part := func(whole, held float64) float64 {
		if whole == 0 {
			return 0
		}
		return max(held, zeroLimit)
	}
	limitGPUs, limitCPUs := held.Limit.Float()
	guaranteeGPUs, guaranteeCPUs := held.Guarantee.Float()
	t.effective.MaxGPUs, t.effective.MaxCPUs = part(team.MaxGPUs, limitGPUs), part(team.MaxCPUs, limitCPUs)
	t.effective.GuaranteedGPUs, t.effective.GuaranteedCPUs = part(team.GuaranteedGPUs, guaranteeGPUs), part(team.GuaranteedCPUs, guaranteeCPUs)
}

// usable gives what of the team's limits, as the settings have them now, may be used here.
func (t *teamQuota) usable() quota.Share {
	if t.account == nil {
		return quota.Share{}
	}
	return t.account.Usable(t.held(), t.whole, t.initial.Held)
}

// held gives what may be gone by: the least of what is stored and of what may yet be.
func (t *teamQuota) held() quota.Share {
	if t.account == nil {
		return quota.Share{}
	}
	held := t.account.Held
	for _, a := range t.indeterminate {
		held = held.Min(a.Held)
	}
	return held
}

// run looks after all accounts.
func (a *quotaManager) run() {
	c := a.leader.core
	if len(a.teams) == 0 {
		return
	}
	if a.cacheChangesSeen != c.cache.QuotaAccountChanges() {
		a.cacheChangesSeen = c.cache.QuotaAccountChanges()
		a.readStored()
	}
	if c.now.Steady < a.nextCheck {
		c.wakeBy(a.nextCheck)
		return
	}
	a.nextCheck = c.now.Steady + c.times.timerCoalescing
	c.wakeBy(a.nextCheck)
	mayWrite := c.election.LeaseValid() && !c.storeHealth.down
	needs := a.demands()
	for _, t := range a.ordered {
		if !mayWrite {
			t.redirectWaiting(c)
			continue
		}
		need := needs[t.settings.Name]
		if !t.writeInFlight && c.now.Steady >= t.retryAt && a.mayWrite() {
			a.writeNextChange(t, need)
		}
		if t.account != nil {
			a.deliverTransfers(t)
			a.requestFromRegion(t, need)
		}
	}
}

// readStored takes in the accounts as the watch shows them.
func (a *quotaManager) readStored() {
	for _, t := range a.ordered {
		current := a.leader.core.cache.QuotaAccount(t.key)
		if current == nil || current.Version <= t.version {
			continue
		}
		if current.Problem != nil {
			a.leader.core.log(Error, "team quota unreadable, its jobs are not scheduled", "key", t.key, "error", current.Problem.Error())
		}
		a.adoptAccount(t, current.Account, current.Version)
	}
}

// adoptAccount goes by an account as it is stored. What was sent to be written before can't be applied any more.
func (a *quotaManager) adoptAccount(t *teamQuota, account *quota.Account, version uint64) {
	if t.account == nil || account == nil || !account.Held.Minus(t.account.Held).Zero() {
		t.requestCount = 0
	}
	t.account, t.version, t.indeterminate = account, version, nil
	a.refreshEffective(t)
}

// refreshEffective brings the effective limits up to date, and has a round held.
func (a *quotaManager) refreshEffective(t *teamQuota) {
	before := t.effective
	t.setEffective(t.usable())
	if before != t.effective {
		a.leader.requestCycle()
	}
}

// teamDemand is what a team's work takes in this region: what its tasks use, and what it could use beyond that.
type teamDemand struct{ used, waiting quota.Amount }

// demands works out what the teams' work takes. Each placement counts as used until there is evidence of its end.
func (a *quotaManager) demands() map[string]teamDemand {
	type sum struct{ usedGPUs, usedCPUs, allGPUs, allCPUs float64 }
	sums := map[string]*sum{}
	for _, j := range a.leader.jobs {
		s := sums[j.spec.Team]
		if s == nil {
			s = &sum{}
			sums[j.spec.Team] = s
		}
		placed, all := float64(len(j.placements)), float64(len(j.placements))
		if j.queued && !j.cancelled && !j.ending && !j.heldByRollout {
			all = max(all, float64(j.unfinished()))
		}
		s.usedGPUs, s.usedCPUs = s.usedGPUs+placed*j.spec.GPUs, s.usedCPUs+placed*j.spec.CPUs
		s.allGPUs, s.allCPUs = s.allGPUs+all*j.spec.GPUs, s.allCPUs+all*j.spec.CPUs
	}
	needs := map[string]teamDemand{}
	for team, s := range sums {
		used := quota.RoundUp(s.usedGPUs, s.usedCPUs)
		needs[team] = teamDemand{used: used, waiting: quota.RoundUp(s.allGPUs, s.allCPUs).Minus(used)}
	}
	return needs
}

// equalShare gives an amount as a share: of the limit and of the guarantee.
func equalShare(a quota.Amount) quota.Share { return quota.Share{Limit: a, Guarantee: a} }

// retained gives what a region keeps when another one asks, as accounts count: what is used, and of the rest what its own
// waiting work takes, but no more than half. So neither region's work waits for all of the other's.
func (t *teamQuota) retained(n teamDemand) quota.Share {
	held := t.held()
	used, all := t.account.ToAccountUnits(equalShare(n.used), t.whole), t.account.ToAccountUnits(equalShare(n.used.Plus(n.waiting)), t.whole)
	free := held.Minus(used)
	return used.Plus(all.Minus(used).Min(free.Half()))
}
