package watchcache

import (
	"encoding/json"

	"bitternwing/internal/quota"
)

// QuotaAccount is this region's account of a team with the version of its key.
type QuotaAccount struct {
	Account *quota.Account
	Problem error // why it can't be read; nil: it can
	Version uint64
}

// quotaAccounts are the accounts by key. There are none without several regions.
type quotaAccounts struct {
	byKey   map[string]*QuotaAccount
	changes uint64
}

func newQuotaAccounts() quotaAccounts { return quotaAccounts{byKey: map[string]*QuotaAccount{}} }

// ApplyQuotaAccount takes an account's value. Accounts are never deleted; a deletion that is seen all the same is taken
// for a value that can't be read, since a fresh account would grant the same shares a second time.
func (c *Cache) ApplyQuotaAccount(key string, value json.RawMessage, version uint64) {
	a := &c.quotaAccounts
	if known := a.byKey[key]; known != nil && known.Version >= version {
		return
	}
	a.changes++
	account, err := quota.Decode(value)
	if err != nil {
		account = nil
	}
	a.byKey[key] = &QuotaAccount{Account: account, Problem: err, Version: version}
}

// replace takes accounts that were listed at a revision.
func (a *quotaAccounts) replace(read quotaAccounts, revision uint64) {
	retainNewer(read.byKey, a.byKey, revision)
	a.byKey = read.byKey
	a.changes++
}

// QuotaAccount returns the account of a key; nil if there is none.
func (c *Cache) QuotaAccount(key string) *QuotaAccount { return c.quotaAccounts.byKey[key] }

// QuotaAccountCount returns how many accounts there are.
func (c *Cache) QuotaAccountCount() int { return len(c.quotaAccounts.byKey) }

// QuotaAccountChanges counts the changes of accounts; it is the same while they are.
func (c *Cache) QuotaAccountChanges() uint64 { return c.quotaAccounts.changes }
