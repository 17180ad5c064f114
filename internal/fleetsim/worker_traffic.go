package fleetsim

import (
	"bitternwing/internal/fleetsim/measure"
	"bitternwing/internal/simworker"
)

// workerTrafficWindowS is over how many seconds a worker's traffic is taken.
const workerTrafficWindowS = 5

// workerTraffic measures what each worker sends and receives.
type workerTraffic struct {
	fleet   *simworker.Fleet
	atS     float64
	last    map[string]int64   // bytes of each worker at the last sample
	windows *measure.Histogram // bytes a second of each worker in each window
	peak    float64            // highest mean over all workers
}

func newWorkerTraffic(fleet *simworker.Fleet) *workerTraffic {
	return &workerTraffic{fleet: fleet, last: map[string]int64{}, windows: measure.NewHistogram()}
}

// sample takes the traffic of a window once it is over.
func (t *workerTraffic) sample(atS float64) {
	elapsed := atS - t.atS
	if elapsed < workerTrafficWindowS {
		return
	}
	t.atS = atS
	sum, n := 0.0, 0
	for _, w := range t.fleet.Workers() {
		total := w.Bytes()
		before, known := t.last[w.Name()]
		t.last[w.Name()] = total
		if !known {
			continue
		}
		perSecond := float64(total-before) / elapsed
		t.windows.AddValue(int64(perSecond))
		sum += perSecond
		n++
	}
	if n > 0 {
		t.peak = max(t.peak, sum/float64(n))
	}
}
