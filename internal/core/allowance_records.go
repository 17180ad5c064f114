package core

import (
	"encoding/json"
	"net/url"

	"bitternwing/internal/allowance"
)

// keyAllowances is where this region's accounts of the teams' allowances are, by team. Without regions there is none.
const keyAllowances = "w/q/"

// allowanceKey gives the key of a team's account. Names of teams may hold what keys may not.
func allowanceKey(team string) string { return keyAllowances + url.PathEscape(team) }

// storedAccount is an account as a node has read it.
type storedAccount struct {
	account *allowance.Account
	problem error // why it can't be read; nil: it can
	version uint64
}

// accountsOf keeps the accounts that are watched.
type accountsOf struct {
	byKey   map[string]*storedAccount
	changes uint64
}

func newAccountsOf() accountsOf { return accountsOf{byKey: map[string]*storedAccount{}} }

// apply takes an account's value. Accounts are never deleted; an end that is seen all the same is taken for one that
// can't be read, since a fresh account would be a second one.
func (a *accountsOf) apply(key string, value json.RawMessage, version uint64) {
	if old := a.byKey[key]; old != nil && old.version >= version {
		return
	}
	a.changes++
	account, err := allowance.Decode(value)
	if err != nil {
		account = nil
	}
	a.byKey[key] = &storedAccount{account: account, problem: err, version: version}
}

// reread takes accounts that were read anew, up to a revision. What was heard of since stays.
func (a *accountsOf) reread(read accountsOf, revision uint64) {
	keepHeardSince(read.byKey, a.byKey, revision)
	a.byKey = read.byKey
	a.changes++
}

// dividedElsewhere tells whether this region's limits are divided among regions while this node's settings know of none:
// it would go by the whole limits, and so must not lead.
func (c *Core) dividedElsewhere() bool {
	return len(c.dir.accounts.byKey) > 0 && !c.op.Regions.Enabled()
}
