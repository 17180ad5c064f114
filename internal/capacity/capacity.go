// Package capacity is an index of the free resources of a fleet's machines. It finds the machine for a task, or the one on
// which preemption for it costs the least, without evaluating each machine. It does not know jobs: the caller says what may
// run where.
package capacity

import (
	"hash/fnv"

	"bitternwing/internal/resource"
)

// Ranks is the number of ranks of priority. Rank 0 is idle priority: work that runs when nobody else wants the machines.
const Ranks = 4

// Group is the machines that do not differ in what may run on them.
type Group struct {
	Type, Zone string
	Spot       bool
}

// PreemptibleWork is the tasks of one rank that could be preempted on a machine.
type PreemptibleWork struct {
	Total   resource.Amount
	Largest resource.Amount // of a single task, each resource by itself
}

// Add counts a task.
func (s *PreemptibleWork) Add(task resource.Amount) {
	s.Total.Add(task)
	s.Largest = larger(s.Largest, task)
}

// MachineCapacity is a machine's free resources, preemptible work and images.
type MachineCapacity struct {
	Name           string
	Free           resource.Amount // now
	FreeAfterStops resource.Amount // once what was told to stop is gone
	Preemptible    [Ranks]PreemptibleWork
	Images         Images
}

// Images are the images of a machine, in sets that may have false positives.
type Images struct {
	Ready    ImageSet
	Fetching ImageSet
	Unknown  ImageSet // perhaps there: they count as being fetched, but do not share the machine's fetch rate
}

// imageWords is the size of a set of images in words.
const imageWords = 4

// ImageSet is a Bloom filter of images with a single hash function.
type ImageSet [imageWords]uint64

// Add adds an image.
func (s *ImageSet) Add(bit ImageBit) { s[bit/64] |= 1 << (bit % 64) }

// MayHold is false only if the image was not added.
func (s *ImageSet) MayHold(bit ImageBit) bool { return s[bit/64]&(1<<(bit%64)) != 0 }

// ImageBit is the bit of an image in a set.
type ImageBit uint

// BitOf gives the bit of an image.
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

// ImageState is how far a machine is from having an image, the closest first.
type ImageState int

// The image states.
const (
	ImageReady       ImageState = iota // the image is there
	ImageFetching                      // it is being fetched, or it is not known whether it is there
	ImageAbsent                        // it has to be fetched
	ImageFetchShared                   // it has to share the fetch with others
	ImageStates
)

// imageBounds bounds the image states of the machines below a node of a tree.
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

// mayBe tells whether an image can be in a state on one of the machines.
func (b *imageBounds) mayBe(state ImageState, bit ImageBit) bool {
	switch state {
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

// best is the best state that an image can have on one of the machines.
func (b *imageBounds) best(bit ImageBit) ImageState {
	for state := ImageReady; state < ImageFetchShared; state++ {
		if b.mayBe(state, bit) {
			return state
		}
	}
	return ImageFetchShared
}
