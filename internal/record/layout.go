package record

import (
	"encoding/json"
	"fmt"
)

// Layout holds the number of tasks in a record for each of the two layouts, and thereby which layout is in use.
type Layout struct {
	IndexLayoutTasks int `json:"by_index"`          // tasks in a record of the first layout
	TaskLayoutTasks  int `json:"by_task,omitempty"` // tasks in a record of the second layout; 0 while the first is in use
}

// minTasks is the minimum number of tasks in a record.
const minTasks = 8

// indexTasksPerKB is the number of tasks in a record of the first layout for each KiB of the value size.
const indexTasksPerKB = 8

// IndexLayoutTasks returns the number of tasks in a record of the first layout. Version 1 calculates the same number
// from the value size in its settings.
func IndexLayoutTasks(valueKB float64) int { return max(minTasks, int(indexTasksPerKB*valueKB)) }

// PlacementBytes is the encoded size of a placement in a record, with a machine name of up to 40 bytes.
const PlacementBytes = 64

// TaskLayoutTasks returns the number of tasks in a record of the second layout that fits into a value of the given
// size.
func TaskLayoutTasks(valueBytes int) int { return max(minTasks, valueBytes/PlacementBytes) }

// TasksPerRecord returns the number of tasks in a new record.
func (l Layout) TasksPerRecord() int {
	if l.TaskLayoutTasks > 0 {
		return l.TaskLayoutTasks
	}
	return l.IndexLayoutTasks
}

// Key returns the key of the record with the given index, whose first task is index*TasksPerRecord().
func (l Layout) Key(job string, index int) Key {
	if l.TaskLayoutTasks > 0 {
		return Key{Job: job, TaskLayout: true, Ordinal: index * l.TaskLayoutTasks}
	}
	return Key{Job: job, Ordinal: index}
}

// Entry is a stored record with its key and the version of the key.
type Entry struct {
	Key     Key
	Version uint64
	Record  Record
}

// TasksIn returns the number of tasks in the record with the given key.
func (l Layout) TasksIn(k Key) int {
	if k.TaskLayout {
		return l.TaskLayoutTasks
	}
	return l.IndexLayoutTasks
}

// AssembledRecord is what is known about the tasks of one record of the current layout. Version is the version of the
// record's key. It is 0 if the record has not been written yet and all information comes from records of the first
// layout.
type AssembledRecord struct {
	Record
	Version uint64
}

// Assemble merges all stored records of a job into records of the current layout, keyed by index.
func (l Layout) Assemble(entries []Entry) map[int]AssembledRecord {
	assembled := map[int]AssembledRecord{}
	for _, entry := range entries {
		if !entry.Key.TaskLayout && l.TaskLayoutTasks > 0 {
			l.split(entry, assembled)
		}
	}
	for _, entry := range entries {
		switch {
		case entry.Key.TaskLayout && l.TaskLayoutTasks > 0:
			assembled[entry.Key.Ordinal/l.TaskLayoutTasks] = AssembledRecord{Record: entry.Record, Version: entry.Version}
		case !entry.Key.TaskLayout && l.TaskLayoutTasks == 0:
			assembled[entry.Key.Ordinal] = AssembledRecord{Record: entry.Record, Version: entry.Version}
		}
	}
	return assembled
}

// split distributes a record of the first layout over records of the second. Its highest attempt applies to each of
// them.
func (l Layout) split(entry Entry, assembled map[int]AssembledRecord) {
	first := entry.Key.Ordinal * l.IndexLayoutTasks
	for task := first; task < first+l.IndexLayoutTasks; task++ {
		index := task / l.TaskLayoutTasks
		target, known := assembled[index]
		if !known {
			target.Record = Record{Done: NewBits(l.TaskLayoutTasks), Placed: map[int]Run{}}
		}
		target.HighestAttempt = max(target.HighestAttempt, entry.Record.HighestAttempt)
		if entry.Record.Done.Has(task - first) {
			target.Done.Add(task - index*l.TaskLayoutTasks)
		}
		if run, placed := entry.Record.Placed[task]; placed {
			target.Placed[task] = run
		}
		assembled[index] = target
	}
}

// DecodeLayout decodes a stored layout.
func DecodeLayout(value json.RawMessage) (Layout, error) {
	var l Layout
	if err := json.Unmarshal(value, &l); err != nil {
		return Layout{}, fmt.Errorf("decode run record layout: %w", err)
	}
	return l, nil
}

// Encode returns the stored form of the layout.
func (l Layout) Encode() (json.RawMessage, error) { return json.Marshal(l) }
