// Package load generates the jobs of a fleet simulation, and submits, polls and cancels them as users do.
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

// Class is a class of like jobs.
type Class struct {
	Name string `json:"name"`
	// Kind is array or service.
	Kind string `json:"kind"`
	// Priority is production, high, standard or idle.
	Priority string `json:"priority"`
	// Share is the share of this class's tasks in all starts a second; AtStart is how many of its jobs
	// are submitted at once at the start.
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

// Arrival is a job and the time of its submission.
type Arrival struct {
	SubmitAt time.Duration
	Class    *Class
	Job      *wire.Job
}

// Generator generates jobs, the same ones for the same seed.
type Generator struct {
	random      *rand.Rand
	classes     []Class
	teams       []string
	startsPerS  float64
	nextArrival []time.Duration // by class
	created     int
	tasks       atomic.Int64
}

// firstJob is the number before that of the first job.
const firstJob = 1_000_000

// arrivalStream is the stream of random numbers for arrivals.
const arrivalStream = 1

// NewGenerator makes a generator of jobs from a time on, at a rate of starts.
func NewGenerator(seed uint64, classes []Class, teams []string, startsPerS float64, from time.Duration) *Generator {
	g := &Generator{random: rand.New(rand.NewPCG(seed, arrivalStream)), classes: classes, teams: teams, startsPerS: startsPerS}
	for i := range classes {
		g.nextArrival = append(g.nextArrival, from+g.nextGap(&classes[i]))
	}
	return g
}

// farFuture is beyond the end of any simulation.
const farFuture = time.Duration(math.MaxInt64 / 2)

// nextGap is the time to a class's next job.
func (g *Generator) nextGap(class *Class) time.Duration {
	perSecond := g.startsPerS * class.Share / float64(class.Tasks)
	if perSecond <= 0 {
		return farFuture
	}
	return config.Seconds(g.random.ExpFloat64() / perSecond)
}

// AtStart gives the jobs that are submitted at the start.
func (g *Generator) AtStart(submitAt time.Duration) []Arrival {
	var all []Arrival
	for i := range g.classes {
		for range g.classes[i].AtStart {
			all = append(all, Arrival{submitAt, &g.classes[i], g.job(&g.classes[i])})
		}
	}
	return all
}

// Until gives the jobs that arrive until a time, in order.
func (g *Generator) Until(end time.Duration) []Arrival {
	var all []Arrival
	for i := range g.classes {
		class := &g.classes[i]
		for g.nextArrival[i] <= end {
			all = append(all, Arrival{g.nextArrival[i], class, g.job(class)})
			g.nextArrival[i] += g.nextGap(class)
		}
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return cmp.Compare(a.SubmitAt, b.SubmitAt) })
	return all
}

// Tasks counts the tasks of all jobs so far.
func (g *Generator) Tasks() int64 { return g.tasks.Load() }

// job generates a job of a class.
func (g *Generator) job(class *Class) *wire.Job {
	g.created++
	g.tasks.Add(int64(class.Tasks))
	job := &wire.Job{
		ID:                  fmt.Sprintf("run-%09d", firstJob+g.created),
		Class:               class.Name,
		Team:                g.teams[g.random.IntN(len(g.teams))],
		Kind:                kinds[class.Kind],
		Priority:            priorities[class.Priority],
		Tasks:               class.Tasks,
		CPUs:                class.CPUs,
		GPUs:                class.GPUs,
		MemoryGB:            class.MemoryGB,
		Image:               fmt.Sprintf("%s-%02d", class.Name, g.random.IntN(max(1, class.Images))),
		ImageGB:             class.ImageGB,
		SingleZone:          class.OneZone,
		SpreadZones:         class.Spread,
		CheckpointIntervalS: class.CheckpointS,
	}
	if job.Kind == wire.KindArray {
		job.EstimatedRunS = class.RunS
	}
	return job
}
