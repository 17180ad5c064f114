package load

import (
	"reflect"
	"testing"
	"time"

	"bitternwing/internal/wire"
)

var testClasses = []Class{
	{Name: "batch", Kind: "array", Priority: "standard", Share: 0.9, Tasks: 10, GPUs: 0.5, CPUs: 1, MemoryGB: 1, Images: 3, ImageGB: 1, RunS: 8},
	{Name: "rush", Kind: "service", Priority: "high", Share: 0.1, InitialJobs: 4, Tasks: 2, GPUs: 1, CPUs: 1, MemoryGB: 1, Images: 1, Spread: true},
}

func testArrivals(seed uint64) (initial, rest []Arrival) {
	g := NewGenerator(seed, testClasses, []string{"red", "blue"}, 100, time.Second)
	return g.InitialArrivals(time.Second), g.ArrivalsUntil(101 * time.Second)
}

// TestGenerator checks that a generator makes the same valid jobs for the same seed, ordered by time and at the
// requested rate.
func TestGenerator(t *testing.T) {
	initial, rest := testArrivals(7)
	initialAgain, restAgain := testArrivals(7)
	if !reflect.DeepEqual(initial, initialAgain) || !reflect.DeepEqual(rest, restAgain) {
		t.Error("two generators with the same seed made different jobs")
	}
	tasks, urgent, last := 0, 0, time.Duration(0)
	for _, a := range rest {
		tasks += a.Job.Tasks
		if a.Class.Urgent() {
			urgent += a.Job.Tasks
		}
		if a.SubmitAt < last || a.SubmitAt > 101*time.Second {
			t.Errorf("job at %v after one at %v, want ordered times up to 101s", a.SubmitAt, last)
		}
		last = a.SubmitAt
		body, err := a.Job.Submission()
		if err != nil {
			t.Fatal(err)
		}
		if job, err := wire.ParseJob(body); err != nil || !reflect.DeepEqual(job, a.Job) {
			t.Fatalf("ParseJob(%s) = %+v, %v, want the submitted job", body, job, err)
		}
	}
	if len(initial) != 4 || tasks < 9000 || tasks > 11000 || urgent < 800 || urgent > 1200 {
		t.Errorf("got %d jobs at the start, then %d tasks in 100 s, %d of them urgent; want 4, 9000 to 11000, 800 to 1200", len(initial), tasks, urgent)
	}
}

// onlyCompleted implements Completions with one completed task.
type onlyCompleted struct{ task int }

func (c onlyCompleted) Completed(_ string, task int) bool { return task == c.task }
func (c onlyCompleted) Job(string) *wire.Job              { return nil }

// TestRunTime checks that tasks run for about their class's run time, and tasks that have completed before for no time.
func TestRunTime(t *testing.T) {
	job := &wire.Job{ID: "run-000001", Kind: wire.KindArray, Tasks: 50, EstimatedRunS: 8}
	workload := Workload{onlyCompleted{3}}
	for task := range job.Tasks {
		runTime := workload.RunTime(job, task)
		if task == 3 && runTime != 0 || task != 3 && (runTime < 6*time.Second || runTime > 10*time.Second) {
			t.Errorf("task %d runs for %v, want 0 for task 3 and 6s to 10s for others", task, runTime)
		}
	}
}
