package core

import (
	"slices"
	"testing"

	"bitternwing/internal/capacity"
	"bitternwing/internal/wire"
)

// imageNamesOf gives all images of a machine, the least recently used first.
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
		t.Errorf("after four uses of three images: %v", got)
	}
	m.addImage("d", 3)
	if got := imageNamesOf(m); !slices.Equal(got, []string{"c", "a", "d"}) {
		t.Errorf("after a fourth image: %v", got)
	}
	m.addImage("e", 9)
	if got := imageNamesOf(m); !slices.Equal(got, []string{"e"}) {
		t.Errorf("after an image that leaves no space: %v", got)
	}
	unsized := &machine{}
	for _, name := range []string{"a", "b", "c", "d"} {
		unsized.addImage(name, 100)
	}
	if got := len(unsized.images); got != 4 {
		t.Errorf("%d images where the size of the cache is not known", got)
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
	check("at first", "a", capacity.ImageAbsent)
	m.addImage("a", 3)
	check("while it is fetched", "a", capacity.ImageFetching)
	check("while another one is fetched", "b", capacity.ImageFetchShared)
	m.markImageReady("a")
	check("once it is there", "a", capacity.ImageReady)
	check("once another one is there", "b", capacity.ImageAbsent)
	if got := m.images.readyGB(); got != 3 {
		t.Errorf("%v GB are there, want 3", got)
	}
	if !m.images.fits(7, 10) || m.images.fits(7.5, 10) {
		t.Error("of 10 GB 7 are free, and no more")
	}

	m.images[0].state = cachedImageUnconfirmed
	check("unconfirmed", "a", capacity.ImageFetching)
	check("another one, beside an unconfirmed one", "b", capacity.ImageAbsent)
	if got := m.images.names(); !slices.Equal(got, []string{"a"}) {
		t.Errorf("believed to be there: %v", got)
	}
	m.capacityChanged = false
	m.markImageReady("b")
	if m.capacityChanged {
		t.Error("an image that was not expected changes the machine")
	}
	m.removeImage("a")
	check("removed", "a", capacity.ImageAbsent)
}
