package stored

import "encoding/json"

// ImageHints is a shard of the images that the leader believes to be on machines, by machine. It is a hint for the
// next leader: one that is wrong costs a fetch and breaks nothing.
type ImageHints map[string][]string

// DecodeImageHints reads a shard of the image hints.
func DecodeImageHints(value json.RawMessage) (ImageHints, error) { return decode[ImageHints](value) }

// imageHintOverhead is what each name in the image hints takes beside itself.
const imageHintOverhead = 8

// ImageHintPacker puts image hints into shards.
type ImageHintPacker struct{ packer shardPacker[[]string] }

// NewImageHintPacker makes a packer of shards of at most maxBytes each. The first shard is there without an entry.
func NewImageHintPacker(maxBytes int) *ImageHintPacker {
	return &ImageHintPacker{shardPacker[[]string]{maxBytes: maxBytes, shards: []map[string][]string{{}}}}
}

// Add puts in the images of a machine.
func (p *ImageHintPacker) Add(machine string, images []string) {
	size := len(machine) + imageHintOverhead
	for _, image := range images {
		size += len(image) + imageHintOverhead
	}
	p.packer.add(machine, images, size)
}

// Encode returns the stored forms of all shards.
func (p *ImageHintPacker) Encode() ([]json.RawMessage, error) { return p.packer.encode() }
