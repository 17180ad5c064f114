// Package capacity keeps the machines of a fleet in order of their room, so that the machine for a task,
// or the one on which the least has to stop for it, is found without a look at each. It knows nothing of
// jobs: what may run where is for the caller to say.
package capacity

import (
	"hash/fnv"

	"bitternwing/internal/resource"
)

// Ranks is the number of ranks of priority, from 0, of work that is to run when nobody else wants the
// machines.
const Ranks = 4

// Group is machines that are alike in what may run on them.
type Group struct {
	Type, Zone string
	Spot       bool
}

// Stoppable is what could be stopped on a machine, of one rank.
type Stoppable struct {
	Sum     resource.Amount
	Largest resource.Amount // of a single task, each resource by itself
}

// Add counts a task.
func (s *Stoppable) Add(task resource.Amount) {
	s.Sum.Give(task)
	s.Largest = larger(s.Largest, task)
}

// Room is a machine's room.
type Room struct {
	Name      string
	Free      resource.Amount // now
	Soon      resource.Amount // once what was told to stop is gone
	Stoppable [Ranks]Stoppable
	Images    Images
}

// Images are the images of a machine, as far as sets tell that may hold more than was put into them.
type Images struct {
	Ready    ImageSet
	Fetching ImageSet
	Unknown  ImageSet // perhaps there: they count like those that are being fetched, and keep nothing from the machine
}

// imageWords is the size of a set of images.
const imageWords = 4

// ImageSet is a set of images that may seem to hold others.
type ImageSet [imageWords]uint64

// Add puts an image into a set.
func (s *ImageSet) Add(bit ImageBit) { s[bit/64] |= 1 << (bit % 64) }

// MayHold is false only if an image is not in the set.
func (s *ImageSet) MayHold(bit ImageBit) bool { return s[bit/64]&(1<<(bit%64)) != 0 }

// ImageBit is an image's place in a set.
type ImageBit uint

// BitOf gives the place of an image.
func BitOf(name string) ImageBit { return ImageBit(hash(name) % (64 * imageWords)) }

func hash(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text)) // a hash takes all
	return h.Sum64()
}

func (s *ImageSet) join(other *ImageSet) {
	for i := range s {
		s[i] |= other[i]
	}
}

func larger(a, b resource.Amount) resource.Amount {
	return resource.Amount{GPUs: max(a.GPUs, b.GPUs), CPUs: max(a.CPUs, b.CPUs), MemoryGB: max(a.MemoryGB, b.MemoryGB)}
}

// Warmth is how far a machine is from having an image.
type Warmth int

// The degrees of warmth.
const (
	Warm     Warmth = iota // the image is there
	Fetching               // it is being fetched, or it is not known whether it is there
	Cold                   // it has to be fetched
	Shared                 // it has to share the fetch with others
	Degrees
)

// imageBounds tells how warm the machines below a node are at best.
type imageBounds struct {
	images Images
	calm   bool // one of them fetches nothing
}

func imageBoundsOf(r *Room) imageBounds {
	return imageBounds{images: r.Images, calm: r.Images.Fetching == ImageSet{}}
}

func (b *imageBounds) join(other *imageBounds) {
	b.images.Ready.join(&other.images.Ready)
	b.images.Fetching.join(&other.images.Fetching)
	b.images.Unknown.join(&other.images.Unknown)
	b.calm = b.calm || other.calm
}

// may tells whether a machine can be as warm as this for an image.
func (b *imageBounds) may(warmth Warmth, bit ImageBit) bool {
	switch warmth {
	case Warm:
		return b.images.Ready.MayHold(bit)
	case Fetching:
		return b.images.Fetching.MayHold(bit) || b.images.Unknown.MayHold(bit)
	case Cold:
		return b.calm
	}
	return b.images.Fetching != ImageSet{}
}

// best is the least warmth that a machine can have for an image.
func (b *imageBounds) best(bit ImageBit) Warmth {
	for w := Warm; w < Shared; w++ {
		if b.may(w, bit) {
			return w
		}
	}
	return Shared
}
