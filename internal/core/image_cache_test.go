package core

import (
	"slices"
	"testing"

	"bitternwing/internal/capacity"
	"bitternwing/internal/wire"
)

// imageNamesOf returns the names of all images of a machine, the least recently used first.
func imageNamesOf(m *machine) []string {
	var names []string
	for _, image := range m.images {
		names = append(names, image.name)
	}
	return names
}

func TestImageCacheEvictsLeastRecentlyUsed(t *testing.T) {
	m := &machine{machineType: &wire.MachineType{CacheGB: 10}}
	for _, name := range []string{"a", "b", "c", "a"} {
		m.addImage(name, 3)
	}
	if got := imageNamesOf(m); !slices.Equal(got, []string{"b", "c", "a"}) {
		t.Errorf("after four uses of three images: got %v, want [b c a]", got)
	}
	m.addImage("d", 3)
	if got := imageNamesOf(m); !slices.Equal(got, []string{"c", "a", "d"}) {
		t.Errorf("after a fourth image: got %v, want [c a d]", got)
	}
	m.addImage("e", 9)
	if got := imageNamesOf(m); !slices.Equal(got, []string{"e"}) {
		t.Errorf("after an image that leaves no space: got %v, want [e]", got)
	}
	unsized := &machine{}
	for _, name := range []string{"a", "b", "c", "d"} {
		unsized.addImage(name, 100)
	}
	if got := len(unsized.images); got != 4 {
		t.Errorf("cache of unknown size: %d images, want 4", got)
	}
}

func TestImageCacheStates(t *testing.T) {
	m := &machine{machineType: &wire.MachineType{CacheGB: 10}}
	check := func(when, name string, want capacity.ImageState) {
		t.Helper()
		if got := m.images.stateOf(name); got != want {
			t.Errorf("%s: the state of %s is %v, want %v", when, name, got, want)
		}
	}
	check("empty cache", "a", capacity.ImageAbsent)
	m.addImage("a", 3)
	check("while a is fetched", "a", capacity.ImageFetching)
	check("while a is fetched", "b", capacity.ImageFetchShared)
	m.markImageReady("a")
	check("once a is ready", "a", capacity.ImageReady)
	check("once a is ready", "b", capacity.ImageAbsent)
	if got := m.images.readyGB(); got != 3 {
		t.Errorf("got %v GB ready, want 3", got)
	}
	if !m.images.fits(7, 10) || m.images.fits(7.5, 10) {
		t.Error("with 3 of 10 GB in use, 7 GB must fit and 7.5 GB must not")
	}

	m.images[0].state = cachedImageUnconfirmed
	check("a is unconfirmed", "a", capacity.ImageFetching)
	check("a is unconfirmed", "b", capacity.ImageAbsent)
	if got := m.images.names(); !slices.Equal(got, []string{"a"}) {
		t.Errorf("presumed images: got %v, want [a]", got)
	}
	m.capacityChanged = false
	m.markImageReady("b")
	if m.capacityChanged {
		t.Error("an unexpected image marked the capacity of the machine as changed")
	}
	m.removeImage("a")
	check("a is removed", "a", capacity.ImageAbsent)
}
