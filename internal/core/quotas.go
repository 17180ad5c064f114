package core

import (
	"time"

	"bitternwing/internal/config"
	"bitternwing/internal/quota"
	"bitternwing/internal/stored"
)

// quotaManager keeps the leader within the shares of the teams' limits and guarantees that its region holds in escrow
// (see package quota). It transfers shares to regions that request them, and requests the shares that its own jobs
// lack. An account is committed to the store before anything is done that relies on it.
type quotaManager struct {
	leader           *leader
	nextCheck        time.Duration
	teams            map[string]*teamQuota
	teamsInOrder     []*teamQuota // in the order of the settings
	writesInFlight   int          // writes of accounts in flight
	cacheChangesSeen uint64       // the cache's count of changes when the accounts were last read from it
}

// teamQuota is a team's quota in this region as the leader enforces it.
type teamQuota struct {
	// effective is the team with the limits and guarantees that are enforced now. Jobs of the team point to it.
	effective config.Team
	settings  *config.Team
	total     quota.Share    // limit and guarantee in all regions together, by this node's settings
	initial   *quota.Account // account with which this region begins
	key       string         // key of the account in the store
	account   *quota.Account // stored account; nil if it does not exist or can't be read
	version   uint64         // version of the stored account
	// indeterminate holds accounts that may or may not have been written. The minimum of all of them is enforced.
	indeterminate []*quota.Account
	writeInFlight bool
	retryAt       time.Duration

	requests            []RequestQuota
	deliveries          []DeliverQuota
	delivering          map[string]bool // regions to which a delivery is in flight
	requestInFlight     bool
	nextRegionIndex     int // index of the region to which the next request goes
	nextRequest         time.Duration
	requestCount        int  // requests since the held share last grew
	callCount           int  // calls sent; selects the node that is called
	limitMismatchLogged bool // a region with other limits of the team was logged in this term
}

// zeroLimit is the effective limit where nothing of a limit is held. A limit of 0 would mean that there is no limit.
const zeroLimit = 1e-6

// newQuotaManager returns a manager of the quotas of all teams. A team may use nothing before its account is read.
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
			total: quota.Share{
				Limit:     quota.RoundDown(team.MaxGPUs, team.MaxCPUs),
				Guarantee: quota.RoundDown(team.GuaranteedGPUs, team.GuaranteedCPUs),
			},
		}
		t.initial = quota.Initial(t.total, regions, l.core.operator.Regions.Name)
		t.setEffective(quota.Share{})
		m.teams[team.Name] = t
		m.teamsInOrder = append(m.teamsInOrder, t)
	}
	return m
}

// regionShares returns the regions, each with the fraction of the limits with which it begins.
func (c *Core) regionShares() []quota.Region {
	var regions []quota.Region
	for _, r := range c.operator.Regions.All {
		regions = append(regions, quota.Region{Name: r.Name, Share: r.InitialShare})
	}
	return regions
}

// teamOf returns a team with the limits and guarantees that are enforced in this region, or nil if there is no such
// team.
func (l *leader) teamOf(name string) *config.Team {
	if t := l.quotas.teams[name]; t != nil {
		return &t.effective
	}
	return l.core.team(name)
}

// setEffective sets the effective limits and guarantees to the share that is held. A resource without a limit stays
// unlimited.
func (t *teamQuota) setEffective(held quota.Share) {
	team := t.settings
	effective := func(total, held float64) float64 {
		if total == 0 {
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

// usable returns the share that this region may use, in terms of the team's limits and guarantees by the current
// settings.
func (t *teamQuota) usable() quota.Share {
	if t.account == nil {
		return quota.Share{}
	}
	return t.account.Usable(t.held(), t.total, t.initial.Held)
}

// held returns the share that this region holds for certain: the minimum of the stored account and of those that may
// still be written.
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

// run writes the accounts that have to change, delivers transfers and requests missing shares, for all teams.
func (m *quotaManager) run() {
	c := m.leader.core
	if len(m.teams) == 0 {
		return
	}
	if m.cacheChangesSeen != c.cache.QuotaAccountChanges() {
		m.cacheChangesSeen = c.cache.QuotaAccountChanges()
		m.readStoredAccounts()
	}
	if c.now.Steady < m.nextCheck {
		c.wakeBy(m.nextCheck)
		return
	}
	m.nextCheck = c.now.Steady + c.times.timerCoalescing
	c.wakeBy(m.nextCheck)
	mayCommit := m.leader.mayCommit()
	demands := m.demands()
	for _, t := range m.teamsInOrder {
		if !mayCommit {
			t.rejectPending(c)
			continue
		}
		demand := demands[t.settings.Name]
		if !t.writeInFlight && c.now.Steady >= t.retryAt && m.mayWrite() {
			m.writeNextChange(t, demand)
		}
		if t.account != nil {
			m.deliverTransfers(t)
			m.requestMissingShare(t, demand)
		}
	}
}

// readStoredAccounts applies the accounts that were received by the watch.
func (m *quotaManager) readStoredAccounts() {
	for _, t := range m.teamsInOrder {
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

// adoptAccount applies a stored account. No earlier write can be applied any more, since the version has changed.
func (m *quotaManager) adoptAccount(t *teamQuota, account *quota.Account, version uint64) {
	if t.account == nil || account == nil || !account.Held.Minus(t.account.Held).IsZero() {
		t.requestCount = 0
	}
	t.account, t.version, t.indeterminate = account, version, nil
	m.refreshEffective(t)
}

// refreshEffective updates the effective limits and guarantees, and requests a scheduling cycle if they change.
func (m *quotaManager) refreshEffective(t *teamQuota) {
	before := t.effective
	t.setEffective(t.usable())
	if before != t.effective {
		m.leader.requestCycle()
	}
}

// teamDemand is what a team's jobs need in this region: what placed tasks use, and what waiting tasks would use beyond
// that.
type teamDemand struct{ used, waiting quota.Amount }

// demands returns the demand of each team with jobs. A placement counts as used until there is evidence of its end.
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
		if j.queued && !j.cancelled && !j.endPending && !j.heldByRollout {
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

// equalShare returns a share with the same amount of the limit and of the guarantee.
func equalShare(a quota.Amount) quota.Share { return quota.Share{Limit: a, Guarantee: a} }

// retained returns the share that this region keeps when another one requests some, in units of the account. That is
// the share in use, and as much of the rest as the region's own waiting tasks need, but at most half of the rest. So
// the waiting tasks of neither region have to wait until all tasks of the other have ended.
func (t *teamQuota) retained(demand teamDemand) quota.Share {
	held := t.held()
	used := t.account.ToAccountUnits(equalShare(demand.used), t.total)
	all := t.account.ToAccountUnits(equalShare(demand.used.Plus(demand.waiting)), t.total)
	free := held.Minus(used)
	return used.Plus(all.Minus(used).Min(free.Half()))
}
