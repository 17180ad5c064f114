// Package capacity indexes the free resources of the machines of a fleet. It finds the best machine for a task, or the
// machine with the lowest cost of preemption, without evaluating every machine. It has no notion of jobs: the caller
// decides which tasks may run on which machines.
package capacity

import (
	"hash/fnv"

	"bitternwing/internal/resource"
)

// Ranks is the number of preemption ranks, which order work by priority. Rank 0 is idle priority: work that uses
// otherwise idle machines.
const Ranks = 4

// Group identifies a set of machines on which the same tasks may run.
type Group struct {
	Type, Zone string
	Spot       bool
}

// PreemptibleWork summarizes the tasks of one rank that may be preempted on a machine.
type PreemptibleWork struct {
	Total   resource.Amount
	Largest resource.Amount // component-wise maximum over the tasks
}

// Add adds a task.
func (w *PreemptibleWork) Add(task resource.Amount) {
	w.Total.Add(task)
	w.Largest = componentwiseMax(w.Largest, task)
}

// MachineCapacity describes the free resources, the preemptible work and the images of a machine.
type MachineCapacity struct {
	Name           string
	Free           resource.Amount // at present
	FreeAfterStops resource.Amount // when all stopping tasks have ended
	Preemptible    [Ranks]PreemptibleWork
	Images         Images
}

// Images are the images on a machine. The sets may have false positives.
type Images struct {
	Ready    ImageSet
	Fetching ImageSet
	Unknown  ImageSet // may be present: treated as being fetched, but without a share of the machine's fetch rate
}

// imageWords is the size of an image set in 64-bit words.
const imageWords = 4

// ImageSet is a Bloom filter of images with a single hash function.
type ImageSet [imageWords]uint64

// Add adds an image.
func (s *ImageSet) Add(bit ImageBit) { s[bit/64] |= 1 << (bit % 64) }

// MayContain reports whether the image may be in the set. False means that it is not; true may be a false positive.
func (s *ImageSet) MayContain(bit ImageBit) bool { return s[bit/64]&(1<<(bit%64)) != 0 }

// ImageBit is the position of an image's bit in an ImageSet.
type ImageBit uint

// BitOf returns the bit of an image.
func BitOf(name string) ImageBit { return ImageBit(hash(name) % (64 * imageWords)) }

func hash(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text)) // Write of a hash never returns an error
	return h.Sum64()
}

func (s *ImageSet) addAll(other *ImageSet) {
	for i := range s {
		s[i] |= other[i]
	}
}

func componentwiseMax(a, b resource.Amount) resource.Amount {
	return resource.Amount{GPUs: max(a.GPUs, b.GPUs), CPUs: max(a.CPUs, b.CPUs), MemoryGB: max(a.MemoryGB, b.MemoryGB),
		ReportBytes: max(a.ReportBytes, b.ReportBytes)}
}

// ImageState is the availability of an image on a machine. Lower values are better.
type ImageState int

// The image states.
const (
	ImageReady       ImageState = iota // the image is present
	ImageFetching                      // the image is being fetched, or its presence is unknown
	ImageAbsent                        // the image has to be fetched
	ImageFetchShared                   // the image has to be fetched at the same time as others, sharing the fetch rate
	ImageStateCount
)

// imageBounds bounds the image states of the machines in a subtree.
type imageBounds struct {
	images                 Images
	hasMachineWithoutFetch bool // at least one machine is not fetching any image
}

func newImageBounds(machine *MachineCapacity) imageBounds {
	return imageBounds{images: machine.Images, hasMachineWithoutFetch: machine.Images.Fetching == ImageSet{}}
}

func (b *imageBounds) combine(other *imageBounds) {
	b.images.Ready.addAll(&other.images.Ready)
	b.images.Fetching.addAll(&other.images.Fetching)
	b.images.Unknown.addAll(&other.images.Unknown)
	b.hasMachineWithoutFetch = b.hasMachineWithoutFetch || other.hasMachineWithoutFetch
}

// mayHaveState reports whether an image may be in the given state on some machine of the subtree.
func (b *imageBounds) mayHaveState(state ImageState, bit ImageBit) bool {
	switch state {
	case ImageReady:
		return b.images.Ready.MayContain(bit)
	case ImageFetching:
		return b.images.Fetching.MayContain(bit) || b.images.Unknown.MayContain(bit)
	case ImageAbsent:
		return b.hasMachineWithoutFetch
	case ImageFetchShared, ImageStateCount:
	}
	return b.images.Fetching != ImageSet{}
}

// bestState returns the best state that an image may have on any machine of the subtree.
func (b *imageBounds) bestState(bit ImageBit) ImageState {
	for state := ImageReady; state < ImageFetchShared; state++ {
		if b.mayHaveState(state, bit) {
			return state
		}
	}
	return ImageFetchShared
}
