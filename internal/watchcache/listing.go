package watchcache

import "bitternwing/internal/wire"

// Listing collects the pages of a list of the watched keys. The cache keeps its old content until Replace.
type Listing struct{ listed *Cache }

// NewListing returns an empty listing.
func NewListing() *Listing { return &Listing{listed: New(0)} }

// AddPage adds the next page. The watch starts at the revision of the first page, so changes made while the later pages
// were read are delivered again.
func (l *Listing) AddPage(page wire.Page) {
	if l.listed.revision == 0 {
		l.listed.revision = page.Revision
	}
	for _, item := range page.Items {
		l.listed.Apply(item.Key, item.Value, item.Version)
	}
}

// Replace replaces the content of the cache with the listing. It retains values that became known after the listing
// started. The watch delivers them, or their deletion, again.
func (c *Cache) Replace(listing *Listing) {
	listed := listing.listed
	retainNewer(listed.jobs, c.jobs, listed.revision)
	c.jobs, c.leader, c.leaderVersion = listed.jobs, listed.leader, listed.leaderVersion
	if listed.term.version > c.term.version {
		c.term = listed.term
	}
	c.taskCounts, c.imageHints, c.unreachableHints = listed.taskCounts, listed.imageHints, listed.unreachableHints
	c.plans.replace(listed.plans, listed.revision)
	c.quotaAccounts.replace(listed.quotaAccounts, listed.revision)
	if listed.catalog != nil {
		c.catalog = listed.catalog
	}
	c.ObserveRecordLayout(listed.layout, listed.layoutVersion)
	c.revision, c.ready = listed.revision, true
}

// versionedValue is the value of a key with the version at which it was read.
type versionedValue interface {
	comparable
	keyVersion() uint64
}

func (j *Job) keyVersion() uint64          { return j.Version }
func (p *Plan) keyVersion() uint64         { return p.Version }
func (a *QuotaAccount) keyVersion() uint64 { return a.Version }

// retainNewer adds to a listing that started at a revision the cached values that became known after it.
func retainNewer[V versionedValue](listed, cached map[string]V, revision uint64) {
	var none V
	for key, cachedValue := range cached {
		if listedValue := listed[key]; cachedValue.keyVersion() > revision && (listedValue == none || listedValue.keyVersion() < cachedValue.keyVersion()) {
			listed[key] = cachedValue
		}
	}
}
