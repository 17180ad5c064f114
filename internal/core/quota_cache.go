package core

import (
	"encoding/json"

	"bitternwing/internal/quota"
)

// cachedQuotaAccount is an account as a node has read it.
type cachedQuotaAccount struct {
	account *quota.Account
	problem error // why it can't be read; nil: it can
	version uint64
}

// cachedQuotaAccounts keeps the accounts that are watched.
type cachedQuotaAccounts struct {
	byKey   map[string]*cachedQuotaAccount
	changes uint64
}

func newCachedQuotaAccounts() cachedQuotaAccounts {
	return cachedQuotaAccounts{byKey: map[string]*cachedQuotaAccount{}}
}

// apply takes an account's value. Accounts are never deleted; an end that is seen all the same is taken for one that
// can't be read, since a fresh account would be a second one.
func (a *cachedQuotaAccounts) apply(key string, value json.RawMessage, version uint64) {
	if old := a.byKey[key]; old != nil && old.version >= version {
		return
	}
	a.changes++
	account, err := quota.Decode(value)
	if err != nil {
		account = nil
	}
	a.byKey[key] = &cachedQuotaAccount{account: account, problem: err, version: version}
}

// replace takes accounts that were read anew, up to a revision. What was heard of since stays.
func (a *cachedQuotaAccounts) replace(read cachedQuotaAccounts, revision uint64) {
	retainNewer(read.byKey, a.byKey, revision)
	a.byKey = read.byKey
	a.changes++
}

// quotasDividedElsewhere tells whether this region's limits are divided among regions while this node's settings know of none:
// it would go by the whole limits, and so must not lead.
func (c *Core) quotasDividedElsewhere() bool {
	return len(c.cache.quotaAccounts.byKey) > 0 && !c.operator.Regions.Enabled()
}
