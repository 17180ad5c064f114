package core

import (
	"slices"

	"bitternwing/internal/config"
	"bitternwing/internal/outcome"
	"bitternwing/internal/wire"
)

// runList starts to read the cloud's list when it is due, and continues with the next pages as the rate limit allows.
// The list of a large fleet has more pages than may be requested in a second.
func (p *provisioner) runList() {
	now := p.leader.core.now.Steady
	switch {
	case p.listInFlight:
	case p.nextPage != "":
		if p.takeRateToken() {
			p.requestListPage(p.nextPage)
		}
	case now < p.nextList:
		p.leader.core.wakeBy(p.nextList)
	case p.takeRateToken():
		p.nextList = p.leader.core.coalesce(now + p.leader.core.times.listLag)
		p.listStartedAt = now
		p.listedNames = map[string]bool{}
		p.requestListPage("")
	}
}

// requestListPage requests the page of the cloud's list after the given machine. A page other than the first is
// requested again if the rate limit refused it. After any other failure, the list is read from the beginning at the
// next due time.
func (p *provisioner) requestListPage(after string) {
	l := p.leader
	p.listInFlight = true
	id := l.registerCall(func(r Result) {
		p.listInFlight = false
		if r.Outcome == outcome.Dropped && after != "" {
			p.nextPage = after
			return
		}
		p.nextPage = ""
		if r.Outcome != outcome.OK {
			return
		}
		p.applyListPage(r.Machines.Machines, r.Machines.More)
	})
	l.core.emit(CloudList{CallID: id, After: after})
}

// applyListPage applies a page of the list. After the last page, it removes machines that are missing from the list.
func (p *provisioner) applyListPage(page []wire.Machine, more bool) {
	for i := range page {
		p.listedNames[page[i].Name] = true
		p.applyListEntry(&page[i])
	}
	if n := len(page); more && n > 0 {
		p.nextPage = page[n-1].Name
		return
	}
	p.listComplete = true
	p.removeUnlisted()
	p.leader.requestCycle()
}

// applyListEntry applies an entry of the cloud's list.
func (p *provisioner) applyListEntry(entry *wire.Machine) {
	l, c := p.leader, p.leader.core
	now := c.now.Steady
	if releasedAt, released := l.releasedMachines[entry.Name]; released {
		if now-releasedAt < releasedListLags*c.times.listLag {
			return // the list lags behind the release
		}
		delete(l.releasedMachines, entry.Name)
	}
	if entry.State == wire.MachineFailed {
		if m := l.machines[entry.Name]; m != nil {
			l.removeMachine(m, "failed")
		} else {
			l.releasedMachines[entry.Name] = now
		}
		p.scaleInQueue = append(p.scaleInQueue, entry.Name)
		return
	}
	_, known := l.machines[entry.Name]
	m := l.findOrAddMachine(entry.Name)
	if !known {
		c.log(Info, "worker found in cloud list", "worker", entry.Name, "state", entry.State)
	}
	if !m.inCloudList {
		m.inCloudList, m.listedAt = true, now
		m.requestedAt = min(m.requestedAt, now-config.Seconds(entry.AgeS))
	}
	m.setIdentity(entry.Type, entry.Zone, entry.Addr, entry.Spot)
	m.missedLists = 0
}

const (
	// releasedListLags is the time, in list lags, for which a released machine may still be listed.
	releasedListLags = 10
	// mustBeListedLags is the time, in list lags, after which an existing machine must be listed.
	mustBeListedLags = 3
	// missedListsForRemoval is the number of consecutive complete lists without a machine after which the machine
	// counts as gone.
	missedListsForRemoval = 2
	// maxReleasedMachines and releasedRetentionLeases bound releasedMachines: above this number of entries, those older
	// than this many leases are deleted.
	maxReleasedMachines     = 1000
	releasedRetentionLeases = 30
)

// removeUnlisted removes machines that are no longer in the cloud's list. A list may describe the state up to twice the
// lag ago, and may be older than the previous list. A machine therefore counts as gone only if the list was requested
// well after the machine must have been listed, and if several consecutive lists lack it.
func (p *provisioner) removeUnlisted() {
	l := p.leader
	for _, m := range slices.Clone(l.machinesByName) {
		if p.listedNames[m.name] || !p.mustBeListed(m) {
			continue
		}
		m.missedLists++
		if m.missedLists >= missedListsForRemoval {
			l.removeMachine(m, "missing from cloud list")
		}
	}
	p.pruneReleased()
}

// mustBeListed reports whether an existing machine would have to be in the list that was read. A machine that sends
// heartbeats exists, whether listed or not.
func (p *provisioner) mustBeListed(m *machine) bool {
	c := p.leader.core
	knownSince := m.firstSeen
	if m.inCloudList {
		knownSince = m.listedAt
	}
	listingDelay := mustBeListedLags * c.times.listLag
	if p.listStartedAt < knownSince+listingDelay {
		return false
	}
	return !m.reportedInTerm || c.now.Steady-m.lastHeardDirectlyOrRelayed() >= listingDelay
}

// pruneReleased deletes old entries from releasedMachines once there are many.
func (p *provisioner) pruneReleased() {
	l, c := p.leader, p.leader.core
	if len(l.releasedMachines) <= maxReleasedMachines {
		return
	}
	for name, releasedAt := range l.releasedMachines {
		if c.now.Steady-releasedAt > releasedRetentionLeases*c.times.lease {
			delete(l.releasedMachines, name)
		}
	}
}
