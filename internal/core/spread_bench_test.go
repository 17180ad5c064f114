package core_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"bitternwing/internal/config"
	"bitternwing/internal/core"
	"bitternwing/internal/wire"
)

// BenchmarkSpread plays 300 machines, or 75 that are four fifths full, in three zones with popular and rare models whose jobs come and go, and loses a
// zone at its worst moment. It measures the trade that places make: loads of weights against the worst loss of a zone.
func BenchmarkSpread(b *testing.B) {
	for _, weight := range []struct {
		name   string
		spread config.Spread
	}{
		{"off", config.Spread{}},
		{"default", config.DefaultOperator().Spread},
		{"zone-x2", config.Spread{ZoneLossesPerDay: 4.0 / 365, MachineLossesPerDay: 57.0 / 8800, ReplicaDays: 30}},
		{"zone-x3", config.Spread{ZoneLossesPerDay: 6.0 / 365, MachineLossesPerDay: 57.0 / 8800, ReplicaDays: 30}},
		{"zone-x10", config.Spread{ZoneLossesPerDay: 20.0 / 365, MachineLossesPerDay: 57.0 / 8800, ReplicaDays: 30}},
		{"spread-alone", config.Spread{ZoneLossesPerDay: 1000, MachineLossesPerDay: 1000, ReplicaDays: 30}},
	} {
		weight.spread.Enabled = weight.name != "off"
		for _, machines := range []int{75, 300} {
			for seed := range int64(3) {
				b.Run(fmt.Sprintf("%d/%s/seed-%d", machines, weight.name, seed+1), func(b *testing.B) {
					for range b.N {
						w := newTradeWorld(b, machines, weight.spread, seed+1)
						w.churn(150)
						w.loseWorstZone()
						w.report(b)
					}
				})
			}
		}
	}
}

// tradeWorld is a cluster of models that come and go.
type tradeWorld struct {
	*scaleCluster
	rnd      *rand.Rand
	jobs     []tradeJob
	made     int
	asked    map[string]time.Duration // when a task's start came in
	running  map[string]string        // the zone in which a replica runs
	loads    int
	loadTime time.Duration
	samples  int
	worst    float64 // sum over samples of the mean over models of the worst zone's share
	lost     float64 // replica seconds after the loss of a zone
	until    float64 // seconds to full service after it
	taken    float64 // share of the worst hit model that the loss took
}

// tradeJob is a service that is there.
type tradeJob struct {
	id    string
	model int
}

// The models: a few popular ones with many jobs, and many rare ones with a few.
const (
	popularModels, popularJobs = 4, 20
	rareModels, rareJobs       = 20, 2
	tradeTasks                 = 2
)

func newTradeWorld(b *testing.B, machines int, weights config.Spread, seed int64) *tradeWorld {
	y := newLargeScaleCluster(b, 3, 0)
	w := &tradeWorld{scaleCluster: y, rnd: rand.New(rand.NewSource(seed)), asked: map[string]time.Duration{}, running: map[string]string{}}
	y.op.IdleBoots = 100
	y.op.Spread = weights
	y.adjust = func(p *config.Params) {
		p.State = config.State{RPS: 2000, WriteRPS: 1000, ValueKB: 16, TxnOps: 48}
		p.Limits = config.Limits{CPUShare: 1, MemoryMB: 1000, MaxConnections: 2000}
		for i := range p.Teams {
			p.Teams[i].GPUsMax = 0
		}
	}
	y.onStart = func(task string) { w.asked[task] = y.now }
	y.onRuns = w.runs
	y.onEnds = func(task string) { delete(w.running, task) }
	y.restart()
	y.have(machines, "z1", "z2", "z3")
	y.pass(10 * time.Second)
	for m := range popularModels + rareModels {
		n := rareJobs
		if m < popularModels {
			n = popularJobs
		}
		for range n {
			w.add(m)
		}
		y.pass(500 * time.Millisecond)
	}
	return w
}

// runs notes that a replica runs, and what its weights took.
func (w *tradeWorld) runs(machine, task string) {
	w.running[task] = w.byName[machine].zone
	if took := w.now - w.asked[task]; took > 100*time.Millisecond {
		w.loads++
		w.loadTime += took
	}
}

// add has a job of a model come.
func (w *tradeWorld) add(model int) {
	w.made++
	id := fmt.Sprintf("run-%06d", w.made)
	w.jobs = append(w.jobs, tradeJob{id, model})
	w.hand(w.nodes[w.made%3], &wire.Job{ID: id, Kind: wire.KindService, Class: "c", Team: fmt.Sprintf("t%d", model%12), Tasks: tradeTasks,
		CPUs: 4, GPUs: 2, MemoryGB: 40, Priority: "prod", Image: fmt.Sprintf("model-%02d", model), ImageGB: 35})
}

// churn has a job end and one of the same model come each second, and takes samples.
func (w *tradeWorld) churn(seconds int) {
	for range seconds {
		i := w.rnd.Intn(len(w.jobs))
		old := w.jobs[i]
		w.jobs = append(w.jobs[:i], w.jobs[i+1:]...)
		w.req++
		w.step(w.nodes[0], core.Cancel{Req: w.req << 16, ID: old.id})
		w.add(old.model)
		w.pass(time.Second)
		share, _ := w.worstShares()
		w.worst += share
		w.samples++
	}
}

// worstShares gives the mean over the models of the share that the loss of its worst zone takes, and which zone takes the
// most of any model.
func (w *tradeWorld) worstShares() (mean float64, zone string) {
	most := 0.0
	byModel := map[int]map[string]int{}
	for _, j := range w.jobs {
		for task := range tradeTasks {
			if z := w.running[wire.TaskName(j.id, task)]; z != "" {
				if byModel[j.model] == nil {
					byModel[j.model] = map[string]int{}
				}
				byModel[j.model][z]++
			}
		}
	}
	for model := range popularModels + rareModels {
		total, worst, at := 0, 0, ""
		for _, z := range []string{"z1", "z2", "z3"} {
			n := byModel[model][z]
			total += n
			if n > worst {
				worst, at = n, z
			}
		}
		if total == 0 {
			continue
		}
		share := float64(worst) / float64(total)
		mean += share / float64(popularModels+rareModels)
		// Of models of which the loss takes as much the popular ones count more.
		if hit := share * float64(total); hit > most {
			most, zone = hit, at
		}
	}
	return mean, zone
}

// loseWorstZone loses the zone that takes the most replicas of a model, and waits for full service.
func (w *tradeWorld) loseWorstZone() {
	_, zone := w.worstShares()
	before := len(w.running)
	for _, x := range w.workers {
		if x.zone == zone {
			x.dead = true
		}
	}
	for task, z := range w.running {
		if z == zone {
			delete(w.running, task)
		}
	}
	w.taken = 1 - float64(len(w.running))/float64(before)
	begin := w.now
	for w.now < begin+3*time.Minute && len(w.running) < before {
		w.pass(200 * time.Millisecond)
		w.lost += float64(before-len(w.running)) * 0.2
	}
	w.until = (w.now - begin).Seconds()
}

func (w *tradeWorld) report(b *testing.B) {
	b.ReportMetric(float64(w.loads), "loads")
	b.ReportMetric(w.loadTime.Seconds(), "load-s")
	b.ReportMetric(100*w.worst/float64(w.samples), "%worst-zone")
	b.ReportMetric(100*w.taken, "%taken")
	b.ReportMetric(w.lost, "replica-s-lost")
	b.ReportMetric(w.until, "s-to-full")
}
