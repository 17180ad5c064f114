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

// PreemptibleWork is what could be stopped on a machine, of one rank.
type PreemptibleWork struct {
	Total   resource.Amount
	Largest resource.Amount // of a single task, each resource by itself
}

// Add counts a task.
func (s *PreemptibleWork) Add(task resource.Amount) {
	s.Total.Give(task)
	s.Largest = larger(s.Largest, task)
}

// MachineCapacity is a machine's room.
type MachineCapacity struct {
	Name           string
	Free           resource.Amount // now
	FreeAfterStops resource.Amount // once what was told to stop is gone
	Preemptible    [Ranks]PreemptibleWork
	Images         Images
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

// ImageState is how far a machine is from having an image.
type ImageState int

// The degrees of warmth.
const (
	ImageReady       ImageState = iota // the image is there
	ImageFetching                      // it is being fetched, or it is not known whether it is there
	ImageAbsent                        // it has to be fetched
	ImageFetchShared                   // it has to share the fetch with others
	ImageStates
)

// imageBounds tells how warm the machines below a node are at best.
type imageBounds struct {
	images      Images
	idleFetcher bool // one of them fetches nothing
}

func newImageBounds(r *MachineCapacity) imageBounds {
	return imageBounds{images: r.Images, idleFetcher: r.Images.Fetching == ImageSet{}}
}

func (b *imageBounds) join(other *imageBounds) {
	b.images.Ready.join(&other.images.Ready)
	b.images.Fetching.join(&other.images.Fetching)
	b.images.Unknown.join(&other.images.Unknown)
	b.idleFetcher = b.idleFetcher || other.idleFetcher
}

// may tells whether a machine can be as warm as this for an image.
func (b *imageBounds) may(warmth ImageState, bit ImageBit) bool {
	switch warmth {
	case ImageReady:
		return b.images.Ready.MayHold(bit)
	case ImageFetching:
		return b.images.Fetching.MayHold(bit) || b.images.Unknown.MayHold(bit)
	case ImageAbsent:
		return b.idleFetcher
	case ImageFetchShared, ImageStates:
	}
	return b.images.Fetching != ImageSet{}
}

// best is the least warmth that a machine can have for an image.
func (b *imageBounds) best(bit ImageBit) ImageState {
	for w := ImageReady; w < ImageFetchShared; w++ {
		if b.may(w, bit) {
			return w
		}
	}
	return ImageFetchShared
}
