// Package record is the stored form of what must not be forgotten about a job's tasks: which are done, which attempt
// of a task is on which machine, and the highest attempt that was ever used.
//
// A job has a record for each range of its tasks that something has happened to. There are two layouts. In the first
// one, the only one that version 1 of the program knows, a record is found by its index, and how many tasks it holds
// follows from the settings of that time. In the second one it is found by its first task. The key-value store holds
// which layout is in use, and how many tasks a record of each holds (Layout), so that no change of settings gives a
// record another meaning.
//
// Once the second layout is in use, records of the first are read and deleted but never written: records of the second
// override them for the tasks that they hold.
package record

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// Run is an attempt of a task on a machine, in an incarnation of its worker.
type Run struct {
	Attempt     uint64
	Machine     string
	Incarnation uint64
}

// MarshalJSON writes a run as a list, for brevity.
func (r Run) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{r.Attempt, r.Machine, r.Incarnation})
}

// UnmarshalJSON reads what MarshalJSON writes.
func (r *Run) UnmarshalJSON(b []byte) error {
	return json.Unmarshal(b, &[]any{&r.Attempt, &r.Machine, &r.Incarnation})
}

// Record is what is stored of a range of tasks. HighestAttempt is the highest one that was used for any of
// them. Done counts from the first of them, Placed has their numbers in the job.
type Record struct {
	HighestAttempt uint64
	Done           Bits
	Placed         map[int]Run
}

// encodedRecord is the JSON form of a Record.
type encodedRecord struct {
	HighestAttempt uint64         `json:"n"`
	Done           string         `json:"d,omitempty"` // ranges, "0-4,7"
	Placed         map[string]Run `json:"p,omitempty"`
}

// Encode returns the stored form of a record.
func (r Record) Encode() (json.RawMessage, error) {
	s := encodedRecord{HighestAttempt: r.HighestAttempt, Done: r.Done.String()}
	if len(r.Placed) > 0 {
		s.Placed = make(map[string]Run, len(r.Placed))
		for task, run := range r.Placed {
			s.Placed[strconv.Itoa(task)] = run
		}
	}
	return json.Marshal(s)
}

// Decode reads a record of a number of tasks.
func Decode(value json.RawMessage, tasks int) (Record, error) {
	var s encodedRecord
	if err := json.Unmarshal(value, &s); err != nil {
		return Record{}, fmt.Errorf("run record: %w", err)
	}
	r := Record{HighestAttempt: s.HighestAttempt, Done: NewBits(tasks), Placed: make(map[int]Run, len(s.Placed))}
	r.Done.read(s.Done)
	for name, run := range s.Placed {
		task, err := strconv.Atoi(name)
		if err != nil || task < 0 {
			return Record{}, fmt.Errorf("run record: %q is no task", name)
		}
		r.Placed[task] = run
	}
	return r, nil
}

// Key names a record: the job, and the record's index or, in the second layout, its first task.
type Key struct {
	Job     string
	ByTask  bool
	Ordinal int
}

// taskMark stands before the number of a record's first task. Version 1 takes no such key for an index.
const taskMark = "t"

// String returns the key as it is stored, below a prefix.
func (k Key) String() string {
	mark := ""
	if k.ByTask {
		mark = taskMark
	}
	return k.Job + "/" + mark + strconv.Itoa(k.Ordinal)
}

// ParseKey reads a key; false if it is none.
func ParseKey(key string) (Key, bool) {
	job, number, found := strings.Cut(key, "/")
	number, byTask := strings.CutPrefix(number, taskMark)
	ordinal, err := strconv.Atoi(number)
	if !found || err != nil || ordinal < 0 {
		return Key{}, false
	}
	return Key{Job: job, ByTask: byTask, Ordinal: ordinal}, true
}
