// Package record defines the stored form of the state of a job's tasks that must survive a failover: which tasks are
// done, which attempt of a task is placed on which machine, and the highest attempt number ever used.
//
// A job has one record for each range of its tasks in which something has happened. There are two layouts. In the
// first, the index layout, a record is identified by its index, and the number of tasks in it depends on the settings
// at the time of writing. Version 1 of the program supports only this layout. In the second, the task layout, a record
// is identified by its first task. The key-value store holds which layout is in use and how many tasks a record of each
// layout has (Layout), so a change of the settings never changes the meaning of a stored record.
//
// Once the second layout is in use, records of the first are read and deleted but never written. Records of the second
// layout override them for the tasks that they contain.
package record

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// Run is an attempt of a task on a machine, with the incarnation of the machine's worker.
type Run struct {
	Attempt     uint64
	Machine     string
	Incarnation uint64
}

// MarshalJSON encodes a run as an array, which is shorter than an object.
func (r Run) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{r.Attempt, r.Machine, r.Incarnation})
}

// UnmarshalJSON decodes the output of MarshalJSON.
func (r *Run) UnmarshalJSON(b []byte) error {
	return json.Unmarshal(b, &[]any{&r.Attempt, &r.Machine, &r.Incarnation})
}

// Record is the stored state of a range of tasks. HighestAttempt is the highest attempt number used for any of them.
// Done contains task numbers relative to the start of the range, and Placed is keyed by task number within the job.
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

// Encode returns the stored form of the record.
func (r Record) Encode() (json.RawMessage, error) {
	encoded := encodedRecord{HighestAttempt: r.HighestAttempt, Done: r.Done.String()}
	if len(r.Placed) > 0 {
		encoded.Placed = make(map[string]Run, len(r.Placed))
		for task, run := range r.Placed {
			encoded.Placed[strconv.Itoa(task)] = run
		}
	}
	return json.Marshal(encoded)
}

// Decode decodes a record with the given number of tasks.
func Decode(value json.RawMessage, tasks int) (Record, error) {
	var encoded encodedRecord
	if err := json.Unmarshal(value, &encoded); err != nil {
		return Record{}, fmt.Errorf("decode run record: %w", err)
	}
	r := Record{HighestAttempt: encoded.HighestAttempt, Done: NewBits(tasks), Placed: make(map[int]Run, len(encoded.Placed))}
	r.Done.addRanges(encoded.Done)
	for name, run := range encoded.Placed {
		task, err := strconv.Atoi(name)
		if err != nil || task < 0 {
			return Record{}, fmt.Errorf("decode run record: %q is not a task number (want a non-negative integer)", name)
		}
		r.Placed[task] = run
	}
	return r, nil
}

// Key identifies a record by its job and an ordinal: the index of the record in the first layout, its first task in the
// second.
type Key struct {
	Job        string
	TaskLayout bool // whether the record has the second layout
	Ordinal    int
}

// taskKeyPrefix precedes the task number in keys of the second layout, so that version 1 does not parse it as an index.
const taskKeyPrefix = "t"

// String returns the stored form of the key, without the prefix of run record keys.
func (k Key) String() string {
	prefix := ""
	if k.TaskLayout {
		prefix = taskKeyPrefix
	}
	return k.Job + "/" + prefix + strconv.Itoa(k.Ordinal)
}

// ParseKey parses the output of Key.String. It returns false if the key is malformed.
func ParseKey(key string) (Key, bool) {
	job, number, found := strings.Cut(key, "/")
	number, taskLayout := strings.CutPrefix(number, taskKeyPrefix)
	ordinal, err := strconv.Atoi(number)
	if !found || err != nil || ordinal < 0 {
		return Key{}, false
	}
	return Key{Job: job, TaskLayout: taskLayout, Ordinal: ordinal}, true
}
