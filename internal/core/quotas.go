package core

import (
	"time"

	"bitternwing/internal/config"
	"bitternwing/internal/quota"
	"bitternwing/internal/stored"
)

// quotaManager keeps a leader within the shares that its region holds in escrow of the teams' limits and guarantees (package
// quota), transfers shares to regions that lack them, and requests what its own work lacks. An account is committed before
// anybody acts on it.
type quotaManager struct {
	leader           *leader
	nextCheck        time.Duration
	teams            map[string]*teamQuota
	ordered          []*teamQuota // as the settings have them
	inFlight         int          // writes of accounts in flight
	cacheChangesSeen uint64       // changes of the watched accounts that were taken in
}

// teamQuota is a team's quota in this region, as the leader applies it.
type teamQuota struct {
	// effective is the team with the limits and guarantees that apply now; jobs of the team point to it.
	effective config.Team
	settings  *config.Team
	whole     quota.Share    // by the settings
	initial   *quota.Account // that this region begins with
	key       string
	account   *quota.Account // as it is stored; nil: it does not exist, or can't be read
	version   uint64
	// indeterminate are accounts whose write may or may not be applied: the minimum of all of them applies.
	indeterminate []*quota.Account
	writeInFlight bool
	retryAt       time.Duration

	requests        []RequestQuota
	deliveries      []DeliverQuota
	delivering      map[string]bool // regions to which a delivery is in flight
	requestInFlight bool
	nextRegion      int // that is requested next
	nextRequest     time.Duration
	requestCount    int // since the last transfer was received
	attempts        int
	regionDisagrees bool // a region has other limits of the team
}

// zeroLimit stands for a limit of which nothing is held: a limit of 0 would mean that there is none.
const zeroLimit = 1e-6

// newQuotaManager makes the quotas of all teams. A team has nothing before its account is read.
func newQuotaManager(l *leader) *quotaManager {
	m := &quotaManager{leader: l, teams: map[string]*teamQuota{}}
	if !l.core.operator.Regions.Enabled() {
		return m
	}
	regions := l.core.regionShares()
	for i := range l.core.settings.Params.Teams {
		team := &l.core.settings.Params.Teams[i]
		t := &teamQuota{
			effective:  *team,
			settings:   team,
			key:        stored.QuotaAccountKey(team.Name),
			delivering: map[string]bool{},
			whole: quota.Share{
				Limit:     quota.RoundDown(team.MaxGPUs, team.MaxCPUs),
				Guarantee: quota.RoundDown(team.GuaranteedGPUs, team.GuaranteedCPUs),
			},
		}
		t.initial = quota.Initial(t.whole, regions, l.core.operator.Regions.Name)
		t.setEffective(quota.Share{})
		m.teams[team.Name] = t
		m.ordered = append(m.ordered, t)
	}
	return m
}

// regionShares gives the regions with the fraction of each limit that they begin with.
func (c *Core) regionShares() []quota.Region {
	var regions []quota.Region
	for _, r := range c.operator.Regions.All {
		regions = append(regions, quota.Region{Name: r.Name, Share: r.InitialShare})
	}
	return regions
}

// teamOf gives a team with the limits and guarantees that apply to it in this region; nil if it does not exist.
func (l *leader) teamOf(name string) *config.Team {
	if t := l.quotas.teams[name]; t != nil {
		return &t.effective
	}
	return l.core.team(name)
}

// setEffective sets the effective limits and guarantees to what is held. A resource without a limit stays so.
func (t *teamQuota) setEffective(held quota.Share) {
	team := t.settings
	effective := func(whole, held float64) float64 {
		if whole == 0 {
			return 0
		}
		return max(held, zeroLimit)
	}
	limitGPUs, limitCPUs := held.Limit.Float()
	guaranteeGPUs, guaranteeCPUs := held.Guarantee.Float()
	t.effective.MaxGPUs = effective(team.MaxGPUs, limitGPUs)
	t.effective.MaxCPUs = effective(team.MaxCPUs, limitCPUs)
	t.effective.GuaranteedGPUs = effective(team.GuaranteedGPUs, guaranteeGPUs)
	t.effective.GuaranteedCPUs = effective(team.GuaranteedCPUs, guaranteeCPUs)
}

// usable gives the share of the team's limits, as they are now, that may be used here.
func (t *teamQuota) usable() quota.Share {
	if t.account == nil {
		return quota.Share{}
	}
	return t.account.Usable(t.held(), t.whole, t.initial.Held)
}

// held gives the share that this region certainly holds: the minimum of the stored account and of those that may yet be
// written.
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

// run advances the accounts of all teams.
func (m *quotaManager) run() {
	c := m.leader.core
	if len(m.teams) == 0 {
		return
	}
	if m.cacheChangesSeen != c.cache.QuotaAccountChanges() {
		m.cacheChangesSeen = c.cache.QuotaAccountChanges()
		m.readStored()
	}
	if c.now.Steady < m.nextCheck {
		c.wakeBy(m.nextCheck)
		return
	}
	m.nextCheck = c.now.Steady + c.times.timerCoalescing
	c.wakeBy(m.nextCheck)
	mayCommit := m.leader.mayCommit()
	demands := m.demands()
	for _, t := range m.ordered {
		if !mayCommit {
			t.redirectWaiting(c)
			continue
		}
		demand := demands[t.settings.Name]
		if !t.writeInFlight && c.now.Steady >= t.retryAt && m.mayWrite() {
			m.writeNextChange(t, demand)
		}
		if t.account != nil {
			m.deliverTransfers(t)
			m.requestFromRegion(t, demand)
		}
	}
}

// readStored takes in the accounts as they are watched.
func (m *quotaManager) readStored() {
	for _, t := range m.ordered {
		current := m.leader.core.cache.QuotaAccount(t.key)
		if current == nil || current.Version <= t.version {
			continue
		}
		if current.Problem != nil {
			m.leader.core.log(Error, "team quota unreadable, its jobs are not scheduled", "key", t.key, "error", current.Problem.Error())
		}
		m.adoptAccount(t, current.Account, current.Version)
	}
}

// adoptAccount applies an account as it is stored. No earlier write can be applied any more, since the version has changed.
func (m *quotaManager) adoptAccount(t *teamQuota, account *quota.Account, version uint64) {
	if t.account == nil || account == nil || !account.Held.Minus(t.account.Held).Zero() {
		t.requestCount = 0
	}
	t.account, t.version, t.indeterminate = account, version, nil
	m.refreshEffective(t)
}

// refreshEffective updates the effective limits, and requests a scheduling cycle if they change.
func (m *quotaManager) refreshEffective(t *teamQuota) {
	before := t.effective
	t.setEffective(t.usable())
	if before != t.effective {
		m.leader.requestCycle()
	}
}

// teamDemand is what a team's work needs in this region: what its tasks use, and what waiting tasks would use beyond that.
type teamDemand struct{ used, waiting quota.Amount }

// demands works out the teams' demand. Each placement counts as used until there is evidence of its end.
func (m *quotaManager) demands() map[string]teamDemand {
	type sum struct{ usedGPUs, usedCPUs, allGPUs, allCPUs float64 }
	sums := map[string]*sum{}
	for _, j := range m.leader.jobs {
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
	demands := map[string]teamDemand{}
	for team, s := range sums {
		used := quota.RoundUp(s.usedGPUs, s.usedCPUs)
		demands[team] = teamDemand{used: used, waiting: quota.RoundUp(s.allGPUs, s.allCPUs).Minus(used)}
	}
	return demands
}

// equalShare gives a share with an amount of both the limit and the guarantee.
func equalShare(a quota.Amount) quota.Share { return quota.Share{Limit: a, Guarantee: a} }

// retained gives what this region keeps at another one's request, in units of the account: what is used, and of the rest what
// its own waiting work needs, but no more than half. So neither region's work has to wait for all of the other's.
func (t *teamQuota) retained(demand teamDemand) quota.Share {
	held := t.held()
	used := t.account.ToAccountUnits(equalShare(demand.used), t.whole)
	all := t.account.ToAccountUnits(equalShare(demand.used.Plus(demand.waiting)), t.whole)
	free := held.Minus(used)
	return used.Plus(all.Minus(used).Min(free.Half()))
}
