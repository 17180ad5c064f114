package wire

// PrefetchPath is the path of requests to a worker to prefetch an image. It is not part of the workers' protocol: only
// simulated workers support it.
const PrefetchPath = "/prefetch"

// PrefetchRequest requests that a worker fetch an image into its cache.
type PrefetchRequest struct {
	Image string  `json:"image"`
	GB    float64 `json:"gb"`
}

// PrefetchResponse is the response to a prefetch. ReadyS is the time in seconds until the image is cached.
type PrefetchResponse struct {
	ReadyS float64 `json:"ready_s"`
}
