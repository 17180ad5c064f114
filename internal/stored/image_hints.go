package stored

import "encoding/json"

// ImageHints is one shard of the images that the leader believes to be cached on machines, by machine. It is a hint for
// the next leader: a wrong hint costs an image fetch and does no other harm.
type ImageHints map[string][]string

// DecodeImageHints decodes a shard of the image hints.
func DecodeImageHints(value json.RawMessage) (ImageHints, error) { return decode[ImageHints](value) }

// imageHintOverhead is the encoded size of a name in the image hints in addition to the name itself, in bytes.
const imageHintOverhead = 8

// ImageHintPacker distributes image hints over shards.
type ImageHintPacker struct{ packer shardPacker[[]string] }

// NewImageHintPacker returns a packer of shards of at most maxBytes each. The first shard exists even without entries.
func NewImageHintPacker(maxBytes int) *ImageHintPacker {
	return &ImageHintPacker{shardPacker[[]string]{maxBytes: maxBytes, shards: []map[string][]string{{}}}}
}

// Add adds the images of a machine.
func (p *ImageHintPacker) Add(machine string, images []string) {
	size := len(machine) + imageHintOverhead
	for _, image := range images {
		size += len(image) + imageHintOverhead
	}
	p.packer.add(machine, images, size)
}

// Encode returns the stored forms of all shards.
func (p *ImageHintPacker) Encode() ([]json.RawMessage, error) { return p.packer.encode() }
