package fleetsim

import (
	"bitternwing/internal/fleetsim/measure"
	"bitternwing/internal/simworker"
)

// trafficWindowS is the minimum length in seconds of a window over which a worker's traffic is averaged.
const trafficWindowS = 5

// workerTraffic measures the bytes per second that each worker sends and receives.
type workerTraffic struct {
	fleet       *simworker.Fleet
	lastSampleS float64
	lastBytes   map[string]int64   // byte counts at the last sample, by worker
	windows     *measure.Histogram // bytes per second, one value for each worker and window
	peakMean    float64            // highest mean over all workers in a window
}

func newWorkerTraffic(fleet *simworker.Fleet) *workerTraffic {
	return &workerTraffic{fleet: fleet, lastBytes: map[string]int64{}, windows: measure.NewHistogram()}
}

// sample records the traffic since the last sample once a window is over.
func (t *workerTraffic) sample(atS float64) {
	elapsed := atS - t.lastSampleS
	if elapsed < trafficWindowS {
		return
	}
	t.lastSampleS = atS
	sum, workers := 0.0, 0
	for _, w := range t.fleet.Workers() {
		total := w.Bytes()
		previous, known := t.lastBytes[w.Name()]
		t.lastBytes[w.Name()] = total
		if !known {
			continue
		}
		perSecond := float64(total-previous) / elapsed
		t.windows.AddValue(int64(perSecond))
		sum += perSecond
		workers++
	}
	if workers > 0 {
		t.peakMean = max(t.peakMean, sum/float64(workers))
	}
}
