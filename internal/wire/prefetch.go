package wire

// PrefetchPath is where workers that support it take requests to fetch an image ahead of need. It is no part of the
// workers' protocol: simulated workers alone have it.
const PrefetchPath = "/prefetch"

// PrefetchRequest requests an image.
type PrefetchRequest struct {
	Image string  `json:"image"`
	GB    float64 `json:"gb"`
}

// PrefetchResponse says when the image is there.
type PrefetchResponse struct {
	ReadyS float64 `json:"ready_s"`
}
