package watchcache

import (
	"encoding/json"

	"bitternwing/internal/quota"
)

// QuotaAccount is this region's quota account of a team with the version of its key.
type QuotaAccount struct {
	Account *quota.Account
	Problem error // why the value can't be decoded; nil if it can
	Version uint64
}

// quotaAccounts holds the quota accounts by key. There are none unless there are several regions.
type quotaAccounts struct {
	byKey       map[string]*QuotaAccount
	changeCount uint64
}

func newQuotaAccounts() quotaAccounts { return quotaAccounts{byKey: map[string]*QuotaAccount{}} }

// ApplyQuotaAccount applies a change of an account. Accounts are never deleted. A deletion is treated as a value that
// can't be decoded, because a new account would grant the same shares a second time.
func (c *Cache) ApplyQuotaAccount(key string, value json.RawMessage, version uint64) {
	a := &c.quotaAccounts
	if known := a.byKey[key]; known != nil && known.Version >= version {
		return
	}
	a.changeCount++
	account, err := quota.Decode(value)
	if err != nil {
		account = nil
	}
	a.byKey[key] = &QuotaAccount{Account: account, Problem: err, Version: version}
}

// replace replaces the accounts with those listed at a revision.
func (a *quotaAccounts) replace(listed quotaAccounts, revision uint64) {
	retainNewer(listed.byKey, a.byKey, revision)
	a.byKey = listed.byKey
	a.changeCount++
}

// QuotaAccount returns the account with the given key, or nil if there is none.
func (c *Cache) QuotaAccount(key string) *QuotaAccount { return c.quotaAccounts.byKey[key] }

// QuotaAccountCount returns the number of accounts.
func (c *Cache) QuotaAccountCount() int { return len(c.quotaAccounts.byKey) }

// QuotaAccountChanges returns a counter that increases whenever an account may have changed.
func (c *Cache) QuotaAccountChanges() uint64 { return c.quotaAccounts.changeCount }
