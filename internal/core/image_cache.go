package core

import (
	"slices"

	"bitternwing/internal/capacity"
)

// imageCache is the presumed content of the image cache of a machine, the least recently used image first.
type imageCache []cachedImage

// cachedImage is an image that a machine has or is fetching.
type cachedImage struct {
	name  string
	bit   capacity.ImageBit
	gb    float64
	state cachedImageState
}

// cachedImageState is the known state of an image in a cache.
type cachedImageState int

const (
	cachedImageFetching    cachedImageState = iota // being fetched
	cachedImageReady                               // in the cache
	cachedImageUnconfirmed                         // recorded as ready by an earlier leader, not confirmed since
)

func newCachedImage(name string, gb float64) cachedImage {
	return cachedImage{name: name, bit: capacity.BitOf(name), gb: gb}
}

// use makes an image the most recently used one. An image that is not in the cache is added as being fetched.
func (c *imageCache) use(name string, gb float64) {
	image, found := c.remove(name)
	if !found {
		image = newCachedImage(name, gb)
	}
	*c = append(*c, image)
}

// evict removes the least recently used images that do not fit together with the most recently used one, whose size is
// gb.
func (c *imageCache) evict(gb, capacityGB float64) {
	sum := gb
	for i := len(*c) - 2; i >= 0; i-- {
		sum += (*c)[i].gb
		if sum > capacityGB {
			*c = slices.Clone((*c)[i+1:])
			return
		}
	}
}

// remove removes an image and returns it; false if it is not in the cache.
func (c *imageCache) remove(name string) (cachedImage, bool) {
	i := slices.IndexFunc(*c, func(image cachedImage) bool { return image.name == name })
	if i < 0 {
		return cachedImage{}, false
	}
	image := (*c)[i]
	*c = slices.Delete(*c, i, i+1)
	return image, true
}

// markReady marks an image as ready, and reports whether the cache lists it. Hints of an earlier leader may list an
// image twice.
func (c imageCache) markReady(name string) bool {
	found := false
	for i := range c {
		if c[i].name == name {
			c[i].state, found = cachedImageReady, true
		}
	}
	return found
}

// fits reports whether an image of the given size fits in addition to all images in the cache.
func (c imageCache) fits(gb, capacityGB float64) bool {
	sum := gb
	for i := range c {
		sum += c[i].gb
	}
	return sum <= capacityGB
}

// readyGB returns the total size of the ready images.
func (c imageCache) readyGB() float64 {
	sum := 0.0
	for i := range c {
		if c[i].state == cachedImageReady {
			sum += c[i].gb
		}
	}
	return sum
}

// stateOf returns the state of an image on the machine.
func (c imageCache) stateOf(name string) capacity.ImageState {
	state := capacity.ImageAbsent
	for i := range c {
		image := &c[i]
		if image.name == name {
			if image.state == cachedImageReady {
				return capacity.ImageReady
			}
			return capacity.ImageFetching
		}
		if image.state == cachedImageFetching {
			state = capacity.ImageFetchShared
		}
	}
	return state
}

// names returns the images that are presumed to be in the cache, confirmed or not.
func (c imageCache) names() []string {
	var names []string
	for i := range c {
		if c[i].state != cachedImageFetching {
			names = append(names, c[i].name)
		}
	}
	return names
}

// markImageReady records that an image is ready on a machine.
func (m *machine) markImageReady(name string) {
	if m.images.markReady(name) {
		m.capacityChanged = true
	}
}

// addImage records that a machine will have an image. If the size of its cache is known, the least recently used images
// are evicted.
func (m *machine) addImage(name string, gb float64) {
	m.capacityChanged = true
	m.images.use(name, gb)
	if m.machineType != nil && m.machineType.CacheGB > 0 {
		m.images.evict(gb, m.machineType.CacheGB)
	}
}

// removeImage records that a machine will not get an image.
func (m *machine) removeImage(name string) {
	m.images.remove(name)
	m.capacityChanged = true
}
