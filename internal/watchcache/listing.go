package watchcache

import "bitternwing/internal/wire"

// Listing collects the pages of a list of the watched keys, while the cache still shows what was known before.
type Listing struct{ read *Cache }

// NewListing begins a list.
func NewListing() *Listing { return &Listing{read: New(0)} }

// AddPage takes the next page. The revision of the first page is where the watch begins: what changed while later pages
// were read comes once more.
func (l *Listing) AddPage(page wire.Page) {
	if l.read.revision == 0 {
		l.read.revision = page.Revision
	}
	for _, item := range page.Items {
		l.read.Apply(item.Key, item.Value, item.Version)
	}
}

// Replace has the cache show what was listed. Values that became known since the list began stay: the watch brings them,
// or their deletion, once more.
func (c *Cache) Replace(listing *Listing) {
	read := listing.read
	retainNewer(read.jobs, c.jobs, read.revision)
	c.jobs, c.leader, c.leaderVersion = read.jobs, read.leader, read.leaderVersion
	if read.term.version > c.term.version {
		c.term = read.term
	}
	c.taskCounts, c.images, c.unreachable = read.taskCounts, read.images, read.unreachable
	c.plans.replace(read.plans, read.revision)
	c.quotaAccounts.replace(read.quotaAccounts, read.revision)
	if read.catalog != nil {
		c.catalog = read.catalog
	}
	c.ObserveRecordLayout(read.layout, read.layoutVersion)
	c.revision, c.ready = read.revision, true
}

// versionedValue is a value of a key as it was read at a version.
type versionedValue interface {
	comparable
	readVersion() uint64
}

func (j *Job) readVersion() uint64          { return j.Version }
func (p *Plan) readVersion() uint64         { return p.Version }
func (a *QuotaAccount) readVersion() uint64 { return a.Version }

// retainNewer adds to a list that began at a revision the values that became known since.
func retainNewer[V versionedValue](read, before map[string]V, revision uint64) {
	var none V
	for key, known := range before {
		if now := read[key]; known.readVersion() > revision && (now == none || now.readVersion() < known.readVersion()) {
			read[key] = known
		}
	}
}
