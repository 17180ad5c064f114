package core

import (
	"slices"

	"bitternwing/internal/capacity"
)

// imageCache is what is known of the images in a machine's cache, the least recently used first.
type imageCache []cachedImage

// cachedImage is an image that a machine has, or will have.
type cachedImage struct {
	name  string
	bit   capacity.ImageBit
	gb    float64
	state cachedImageState
}

// cachedImageState is how far an image in a cache can be relied on.
type cachedImageState int

const (
	cachedImageFetching    cachedImageState = iota // on its way
	cachedImageReady                               // there
	cachedImageUnconfirmed                         // an earlier leader had it as ready, and nothing has shown it since
)

func newCachedImage(name string, gb float64) cachedImage {
	return cachedImage{name: name, bit: capacity.BitOf(name), gb: gb}
}

// use makes an image the most recently used one, and adds it as being fetched if it is not there.
func (c *imageCache) use(name string, gb float64) {
	image, found := c.remove(name)
	if !found {
		image = newCachedImage(name, gb)
	}
	*c = append(*c, image)
}

// evict evicts the least recently used images that don't fit beside the most recently used one, which takes an amount.
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

// remove removes an image and gives it; false if it is not there.
func (c *imageCache) remove(name string) (cachedImage, bool) {
	i := slices.IndexFunc(*c, func(image cachedImage) bool { return image.name == name })
	if i < 0 {
		return cachedImage{}, false
	}
	image := (*c)[i]
	*c = slices.Delete(*c, i, i+1)
	return image, true
}

// markReady notes that an image is there; false if it was not expected. Hints of an earlier leader may list an image
// twice.
func (c imageCache) markReady(name string) bool {
	found := false
	for i := range c {
		if c[i].name == name {
			c[i].state, found = cachedImageReady, true
		}
	}
	return found
}

// fits tells whether there is space for another image beside all that are there.
func (c imageCache) fits(gb, capacityGB float64) bool {
	sum := gb
	for i := range c {
		sum += c[i].gb
	}
	return sum <= capacityGB
}

// readyGB is how much the images take that are there.
func (c imageCache) readyGB() float64 {
	sum := 0.0
	for i := range c {
		if c[i].state == cachedImageReady {
			sum += c[i].gb
		}
	}
	return sum
}

// stateOf tells how much work remains until a task can start with an image.
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

// names gives the images that are believed to be there.
func (c imageCache) names() []string {
	var names []string
	for i := range c {
		if c[i].state != cachedImageFetching {
			names = append(names, c[i].name)
		}
	}
	return names
}

// markImageReady notes that a machine has an image.
func (m *machine) markImageReady(name string) {
	if m.images.markReady(name) {
		m.capacityChanged = true
	}
}

// addImage notes that a machine will have an image. The least recently used ones make way, as far as the size of its
// cache is known.
func (m *machine) addImage(name string, gb float64) {
	m.capacityChanged = true
	m.images.use(name, gb)
	if m.machineType != nil && m.machineType.CacheGB > 0 {
		m.images.evict(gb, m.machineType.CacheGB)
	}
}

// removeImage notes that a machine does not get an image.
func (m *machine) removeImage(name string) {
	m.images.remove(name)
	m.capacityChanged = true
}
