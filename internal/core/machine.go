package core

import (
	"slices"
	"sort"
	"time"

	"bitternwing/internal/capacity"
	"bitternwing/internal/wire"
)

// machine is a worker's machine as the leader knows it.
type machine struct {
	name, kind, zone, addr string
	spot                   bool
	mt                     *wire.MachineType

	since    time.Duration // when this leader first knew of it
	rentedAt time.Duration // when it was asked for, as far as known
	rented   bool          // by this leader
	listed   bool          // seen in the cloud's list
	listedAt time.Duration
	missing  int  // complete lists in a row that lack it
	seenUp   bool // it has reported at some time, in this term or an earlier one

	up        bool // it has reported in this term
	session   uint64
	seq       uint64
	heard     time.Duration
	relayedAt time.Duration // when another node last passed a report of it on
	notice    bool

	inspecting            bool
	inspectedAt           time.Duration // when it was last asked directly
	reached               time.Duration // when it last answered that
	unansweredInspections int           // questions in a row without an answer, since it was last heard

	held          *heldAnswer           // to its last report; nil: none is held back
	lastHold      time.Duration         // for how long the answer to its last report was to be held back
	runs          map[string]*placement // by task name
	list          []*placement          // the same, by job and task
	host          *host                 // its room; nil while it may take no tasks
	roomChanged   bool                  // since its room was worked out
	exits         []wire.TaskStatus     // exited tasks of the last report
	orphanedTasks []wire.TaskStatus     // tasks it holds that no record explains
	releasing     bool
	// Why it is given back, and whether a request for that may have been carried out.
	releaseWhy  releaseReason
	releaseSent bool
	ordering    bool                   // direct commands are on the way
	current     uint64                 // the token used with it
	direct      map[attemptName]uint64 // attempts started directly, and with which token
	idleSince   time.Duration
	images      []image // most recently used last
	full        time.Duration

	// Failure accounting, see faults.go.
	errors  map[string]int // by job, since something last started and ran well here
	erredAt time.Duration  // when something last failed
	faulty  bool

	// Whether answers reach it, see requireToken.
	requiredToken      uint64        // the token it has to show; 0: none
	tokenRequiredSince time.Duration // since when its reports come and don't show it
}

type attemptName struct {
	task    string
	attempt uint64
}

type image struct {
	name  string
	bit   capacity.ImageBit
	gb    float64
	ready bool
	// unknown tells that an earlier leader had it as ready, and that nothing has shown it since.
	unknown bool
}

func newImage(name string, gb float64) image {
	return image{name: name, bit: capacity.BitOf(name), gb: gb}
}

func (m *machine) add(p *placement) {
	m.roomChanged = true
	m.runs[p.name()] = p
	i, _ := slices.BinarySearchFunc(m.list, p, comparePlacements)
	m.list = slices.Insert(m.list, i, p)
}

func (m *machine) remove(p *placement) {
	m.roomChanged = true
	delete(m.runs, p.name())
	if i, ok := slices.BinarySearchFunc(m.list, p, comparePlacements); ok && m.list[i] == p {
		m.list = slices.Delete(m.list, i, i+1)
	}
}

func comparePlacements(a, b *placement) int {
	switch {
	case a.job != b.job && a.job.before(b.job):
		return -1
	case a.job != b.job:
		return 1
	}
	return a.task - b.task
}

// sorted gives the machine's placements in order, in a list that stays as it is while
// they end.
func (m *machine) sorted() []*placement { return slices.Clone(m.list) }

// machine gives a machine by name and takes it up if it is new.
func (l *leader) machine(name string) *machine {
	if m := l.machines[name]; m != nil {
		return m
	}
	m := &machine{name: name, since: l.c.now.Steady, rentedAt: l.c.now.Steady, heard: l.heardBefore(name),
		idleSince: l.c.now.Steady, runs: map[string]*placement{}, errors: map[string]int{}}
	l.machines[name] = m
	l.hint(m)
	i := sort.Search(len(l.fleet), func(i int) bool { return l.fleet[i].name > name })
	l.fleet = append(l.fleet, nil)
	copy(l.fleet[i+1:], l.fleet[i:])
	l.fleet[i] = m
	return m
}

// describe fills in what kind of machine it is.
func (m *machine) describe(kind, zone, addr string, spot bool) {
	if zone != m.zone {
		for _, p := range m.list {
			if p.job.placed[p.task] == p {
				p.job.leaveZone(m.zone)
				p.job.zones[zone]++
				if model, ok := p.job.model(); ok && p.job.replicas != nil {
					p.job.replicas.Move(model, m.zone, zone, m.name)
				}
			}
		}
	}
	if kind != m.kind || zone != m.zone || spot != m.spot {
		m.kind, m.zone, m.spot = kind, zone, spot
		m.roomChanged = true
	}
	if addr != "" {
		m.addr = addr
	}
}

// setType takes in what a machine's type is; nil: it is not known yet.
func (m *machine) setType(mt *wire.MachineType) {
	m.mt = mt
	m.roomChanged = true
}

// removeMachine drops a machine: there is evidence that it and all on it are no more.
func (l *leader) removeMachine(m *machine, why string) {
	for _, p := range m.sorted() {
		l.end(p)
	}
	if l.machines[m.name] != m {
		return
	}
	l.answerHeld(m)
	delete(l.machines, m.name)
	l.dropHost(m)
	for i, x := range l.fleet {
		if x == m {
			l.fleet = append(l.fleet[:i], l.fleet[i+1:]...)
			break
		}
	}
	l.released[m.name] = l.c.now.Steady
	l.c.log(Info, "machine gone", "machine", m.name, "why", why)
	l.wantRound()
}

// end ends a placement: its attempt is not and will not be on its machine.
func (l *leader) end(p *placement) {
	j := p.job
	if j.placed[p.task] != p {
		p.machine.remove(p)
		return
	}
	j.drop(p)
	if p.stop != keep {
		j.halted--
	}
	if len(p.machine.runs) == 0 {
		p.machine.idleSince = l.c.now.Steady
	}
	j.cursor = min(j.cursor, p.task)
	l.mark(l.chunkOf(j, p.task))
	l.wantRound()
	l.finishIfDone(j)
}

// enter takes a machine into a session. Direct commands of earlier ones are refused
// by the worker from then on.
func (m *machine) enter(session uint64) {
	if session != m.session {
		m.session, m.direct = session, nil
	}
}

// lastHeard is when a report of a machine last came, here or by another node.
func (m *machine) lastHeard() time.Duration { return max(m.heard, m.relayedAt) }

// imageReady notes that a machine has an image.
func (m *machine) imageReady(name string) {
	for i := range m.images {
		if m.images[i].name == name {
			m.images[i].ready, m.images[i].unknown = true, false
			m.roomChanged = true
		}
	}
}

// touch notes that a machine will have an image; the least recently used make way.
func (m *machine) touch(name string, gb float64) {
	m.roomChanged = true
	sum := gb
	img, found := m.takeImage(name)
	if !found {
		img = newImage(name, gb)
	}
	m.images = append(m.images, img)
	if m.mt == nil {
		return
	}
	for i := len(m.images) - 2; i >= 0; i-- {
		sum += m.images[i].gb
		if sum > m.mt.CacheGB && m.mt.CacheGB > 0 {
			m.images = append([]image(nil), m.images[i+1:]...)
			break
		}
	}
}

// takeImage takes an image out of the list of those that a machine has.
func (m *machine) takeImage(name string) (image, bool) {
	for i, img := range m.images {
		if img.name == name {
			m.images = append(m.images[:i], m.images[i+1:]...)
			return img, true
		}
	}
	return image{}, false
}

// cached is how much a machine has in its cache, as far as known.
func (m *machine) cached() float64 {
	sum := 0.0
	for _, img := range m.images {
		if img.ready {
			sum += img.gb
		}
	}
	return sum
}

// warmth of a machine for an image.
func (m *machine) warmth(name string) capacity.Warmth {
	w := capacity.Cold
	for i := range m.images {
		if m.images[i].name == name {
			if m.images[i].ready {
				return capacity.Warm
			}
			return capacity.Fetching
		}
		if !m.images[i].ready && !m.images[i].unknown {
			w = capacity.Shared
		}
	}
	return w
}
