package wire

// PrefetchPath is the path on which workers that support it take prefetches of images. It is no part of the
// workers' protocol: simulated workers alone have it.
const PrefetchPath = "/prefetch"

// PrefetchRequest requests an image.
type PrefetchRequest struct {
	Image string  `json:"image"`
	GB    float64 `json:"gb"`
}

// PrefetchResponse says after how many seconds the image is cached.
type PrefetchResponse struct {
	ReadyS float64 `json:"ready_s"`
}
