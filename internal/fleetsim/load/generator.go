// Package load makes the jobs of a scale run and submits, asks about and cancels them as users do.
package load

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"bitternwing/internal/config"
	"bitternwing/internal/wire"
)

// Class is a class of jobs that are alike.
type Class struct {
	Name string `json:"name"`
	// Kind is array or service.
	Kind string `json:"kind"`
	// Priority is production, high, standard or idle.
	Priority string `json:"priority"`
	// Share is the part of all starts a second that are tasks of this class; AtStart is how many jobs of
	// it are submitted at once at the start.
	Share       float64 `json:"share"`
	AtStart     int     `json:"at_start"`
	Tasks       int     `json:"tasks"`
	GPUs        float64 `json:"gpus"`
	CPUs        float64 `json:"cpus"`
	MemoryGB    float64 `json:"memory_gb"`
	Images      int     `json:"images"`
	ImageGB     float64 `json:"image_gb"`
	RunS        float64 `json:"run_s"` // of an array's tasks; a service is cancelled after it, 0: never
	CheckpointS float64 `json:"checkpoint_s"`
	OneZone     bool    `json:"one_zone"`
	Spread      bool    `json:"spread"`
}

var kinds = map[string]wire.JobKind{"array": wire.KindArray, "service": wire.KindService}

var priorities = map[string]wire.Priority{"production": wire.PriorityProduction, "high": wire.PriorityHigh,
	"standard": wire.PriorityStandard, "idle": wire.PriorityIdle}

// Urgent tells whether the class is to start before others.
func (c *Class) Urgent() bool {
	return priorities[c.Priority].Rank() >= wire.PriorityHigh.Rank()
}

// Arrival is a job and when its user submits it.
type Arrival struct {
	SubmitAt time.Duration
	Class    *Class
	Job      *wire.Job
}

// Generator makes the same jobs for the same seed.
type Generator struct {
	random      *rand.Rand
	classes     []Class
	teams       []string
	startsPerS  float64
	nextArrival []time.Duration // by class
	created     int
	tasks       atomic.Int64
}

// firstJob is the number of the first job.
const firstJob = 1_000_000

// NewGenerator makes a generator of jobs from a time on, at so many starts a second.
func NewGenerator(seed uint64, classes []Class, teams []string, startsPerS float64, from time.Duration) *Generator {
	g := &Generator{random: rand.New(rand.NewPCG(seed, 1)), classes: classes, teams: teams, startsPerS: startsPerS}
	for i := range classes {
		g.nextArrival = append(g.nextArrival, from+g.nextGap(&classes[i]))
	}
	return g
}

// nextGap is the time to a class's next job.
func (g *Generator) nextGap(c *Class) time.Duration {
	perSecond := g.startsPerS * c.Share / float64(c.Tasks)
	if perSecond <= 0 {
		return math.MaxInt64 / 2
	}
	return config.Seconds(g.random.ExpFloat64() / perSecond)
}

// AtStart gives the jobs that are there at the start.
func (g *Generator) AtStart(at time.Duration) []Arrival {
	var all []Arrival
	for i := range g.classes {
		for range g.classes[i].AtStart {
			all = append(all, Arrival{at, &g.classes[i], g.job(&g.classes[i])})
		}
	}
	return all
}

// Until gives the jobs that come until a time, in order.
func (g *Generator) Until(end time.Duration) []Arrival {
	var all []Arrival
	for i := range g.classes {
		c := &g.classes[i]
		for g.nextArrival[i] <= end {
			all = append(all, Arrival{g.nextArrival[i], c, g.job(c)})
			g.nextArrival[i] += g.nextGap(c)
		}
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return cmp.Compare(a.SubmitAt, b.SubmitAt) })
	return all
}

// Tasks counts the tasks of all jobs so far.
func (g *Generator) Tasks() int64 { return g.tasks.Load() }

func (g *Generator) job(c *Class) *wire.Job {
	g.created++
	g.tasks.Add(int64(c.Tasks))
	j := &wire.Job{
		ID: fmt.Sprintf("run-%09d", firstJob+g.created), Class: c.Name, Team: g.teams[g.random.IntN(len(g.teams))],
		Kind: kinds[c.Kind], Priority: priorities[c.Priority], Tasks: c.Tasks,
		CPUs: c.CPUs, GPUs: c.GPUs, MemoryGB: c.MemoryGB,
		Image: fmt.Sprintf("%s-%02d", c.Name, g.random.IntN(max(1, c.Images))), ImageGB: c.ImageGB,
		SingleZone: c.OneZone, SpreadZones: c.Spread, CheckpointIntervalS: c.CheckpointS,
	}
	if j.Kind == wire.KindArray {
		j.EstimatedRunS = c.RunS
	}
	return j
}
