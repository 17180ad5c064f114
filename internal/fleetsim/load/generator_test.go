package load

import (
	"reflect"
	"testing"
	"time"

	"bitternwing/internal/wire"
)

var testClasses = []Class{
	{Name: "batch", Kind: "array", Priority: "standard", Share: 0.9, Tasks: 10, GPUs: 0.5, CPUs: 1, MemoryGB: 1, Images: 3, ImageGB: 1, RunS: 8},
	{Name: "rush", Kind: "service", Priority: "high", Share: 0.1, AtStart: 4, Tasks: 2, GPUs: 1, CPUs: 1, MemoryGB: 1, Images: 1, Spread: true},
}

func testArrivals(seed uint64) (start, rest []Arrival) {
	g := NewGenerator(seed, testClasses, []string{"red", "blue"}, 100, time.Second)
	return g.AtStart(time.Second), g.Until(101 * time.Second)
}

// TestGenerator makes the same jobs for the same seed, in order, at the requested rate, and in the form of the
// protocol.
func TestGenerator(t *testing.T) {
	start, rest := testArrivals(7)
	again, restAgain := testArrivals(7)
	if !reflect.DeepEqual(start, again) || !reflect.DeepEqual(rest, restAgain) {
		t.Error("another run made other jobs")
	}
	tasks, urgent, last := 0, 0, time.Duration(0)
	for _, a := range rest {
		tasks += a.Job.Tasks
		if a.Class.Urgent() {
			urgent += a.Job.Tasks
		}
		if a.SubmitAt < last || a.SubmitAt > 101*time.Second {
			t.Errorf("a job at %v after one at %v", a.SubmitAt, last)
		}
		last = a.SubmitAt
		body, err := a.Job.Submission()
		if err != nil {
			t.Fatal(err)
		}
		if job, err := wire.ParseJob(body); err != nil || !reflect.DeepEqual(job, a.Job) {
			t.Fatalf("%s: %+v, %v", body, job, err)
		}
	}
	if len(start) != 4 || tasks < 9000 || tasks > 11000 || urgent < 800 || urgent > 1200 {
		t.Errorf("%d jobs at the start, then %d tasks in 100 s, %d of them urgent", len(start), tasks, urgent)
	}
}

// completed knows of one completed task.
type completed struct{ task int }

func (c completed) Completed(_ string, task int) bool { return task == c.task }
func (c completed) Job(string) *wire.Job              { return nil }

// TestRunTime has tasks run for about their class's time, and those that have completed before not at all.
func TestRunTime(t *testing.T) {
	job := &wire.Job{ID: "run-000001", Kind: wire.KindArray, Tasks: 50, EstimatedRunS: 8}
	uploads := Uploads{completed{3}}
	for task := range job.Tasks {
		d := uploads.RunTime(job, task)
		if task == 3 && d != 0 || task != 3 && (d < 6*time.Second || d > 10*time.Second) {
			t.Errorf("task %d runs for %v", task, d)
		}
	}
}
