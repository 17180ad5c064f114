// Package load generates the jobs of a fleet simulation, and simulates the users who submit, poll and cancel them.
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

// Class describes a class of jobs with the same resources and priority.
type Class struct {
	Name string `json:"name"`
	// Kind is "array" or "service".
	Kind string `json:"kind"`
	// Priority is "production", "high", "standard" or "idle".
	Priority string `json:"priority"`
	// Share is the share of this class's tasks in all starts per second. InitialJobs is how many of its jobs are
	// submitted at once at the start, in addition.
	Share       float64 `json:"share"`
	InitialJobs int     `json:"at_start"`
	Tasks       int     `json:"tasks"`
	GPUs        float64 `json:"gpus"`
	CPUs        float64 `json:"cpus"`
	MemoryGB    float64 `json:"memory_gb"`
	Images      int     `json:"images"`
	ImageGB     float64 `json:"image_gb"`
	RunS        float64 `json:"run_s"` // mean run time of an array's tasks; time until a service is cancelled, 0 for never
	CheckpointS float64 `json:"checkpoint_s"`
	OneZone     bool    `json:"one_zone"`
	Spread      bool    `json:"spread"`
}

var jobKinds = map[string]wire.JobKind{"array": wire.KindArray, "service": wire.KindService}

var priorities = map[string]wire.Priority{"production": wire.PriorityProduction, "high": wire.PriorityHigh,
	"standard": wire.PriorityStandard, "idle": wire.PriorityIdle}

// Urgent reports whether the class has high priority or above.
func (c *Class) Urgent() bool {
	return priorities[c.Priority].Rank() >= wire.PriorityHigh.Rank()
}

// Arrival is a job with the time of its submission.
type Arrival struct {
	SubmitAt time.Duration
	Class    *Class
	Job      *wire.Job
}

// Generator generates jobs. It generates the same ones for the same seed.
type Generator struct {
	random      *rand.Rand
	classes     []Class
	teams       []string
	startsPerS  float64
	nextArrival []time.Duration // next arrival of each class
	created     int
	tasks       atomic.Int64
}

// jobNumberBase is the offset of the numbers in job ids. The first job has the number jobNumberBase+1.
const jobNumberBase = 1_000_000

// arrivalStream selects the random numbers for arrivals.
const arrivalStream = 1

// NewGenerator returns a generator of jobs that arrive after from. Their tasks arrive at a mean rate of startsPerS.
func NewGenerator(seed uint64, classes []Class, teams []string, startsPerS float64, from time.Duration) *Generator {
	g := &Generator{random: rand.New(rand.NewPCG(seed, arrivalStream)), classes: classes, teams: teams, startsPerS: startsPerS}
	for i := range classes {
		g.nextArrival = append(g.nextArrival, from+g.nextInterval(&classes[i]))
	}
	return g
}

// farFuture is later than the end of any simulation.
const farFuture = time.Duration(math.MaxInt64 / 2)

// nextInterval draws the time until a class's next job, which is exponentially distributed.
func (g *Generator) nextInterval(class *Class) time.Duration {
	jobsPerS := g.startsPerS * class.Share / float64(class.Tasks)
	if jobsPerS <= 0 {
		return farFuture
	}
	return config.Seconds(g.random.ExpFloat64() / jobsPerS)
}

// InitialArrivals returns the jobs that are submitted at the start.
func (g *Generator) InitialArrivals(submitAt time.Duration) []Arrival {
	var arrivals []Arrival
	for i := range g.classes {
		for range g.classes[i].InitialJobs {
			arrivals = append(arrivals, Arrival{submitAt, &g.classes[i], g.job(&g.classes[i])})
		}
	}
	return arrivals
}

// ArrivalsUntil returns the jobs that arrive since the last call and until end, ordered by time.
func (g *Generator) ArrivalsUntil(end time.Duration) []Arrival {
	var arrivals []Arrival
	for i := range g.classes {
		class := &g.classes[i]
		for g.nextArrival[i] <= end {
			arrivals = append(arrivals, Arrival{g.nextArrival[i], class, g.job(class)})
			g.nextArrival[i] += g.nextInterval(class)
		}
	}
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return cmp.Compare(a.SubmitAt, b.SubmitAt) })
	return arrivals
}

// TaskCount returns the number of tasks in all jobs so far.
func (g *Generator) TaskCount() int64 { return g.tasks.Load() }

// job generates a job of a class, for a random team and image.
func (g *Generator) job(class *Class) *wire.Job {
	g.created++
	g.tasks.Add(int64(class.Tasks))
	job := &wire.Job{
		ID:                  fmt.Sprintf("run-%09d", jobNumberBase+g.created),
		Class:               class.Name,
		Team:                g.teams[g.random.IntN(len(g.teams))],
		Kind:                jobKinds[class.Kind],
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
