package record

import (
	"encoding/json"
	"fmt"
)

// Layout says how many tasks a record holds.
type Layout struct {
	ByIndex int `json:"by_index"`          // of a record of the first layout
	ByTask  int `json:"by_task,omitempty"` // of one of the second; 0 while the first is in use
}

// minTasks is how many tasks a record holds at least.
const minTasks = 8

// indexTasksPerKB is how many tasks a record of the first layout holds for each KiB of a value.
const indexTasksPerKB = 8

// ByIndexFor returns how many tasks a record of the first layout holds. Version 1 does the same with the
// value size of its settings.
func ByIndexFor(valueKB float64) int { return max(minTasks, int(indexTasksPerKB*valueKB)) }

// PlacementBytes is what a placement takes of a record, with a machine's name of up to forty bytes.
const PlacementBytes = 64

// ByTaskFor returns how many tasks a record of the second layout holds that keeps within a value size.
func ByTaskFor(valueBytes int) int { return max(minTasks, valueBytes/PlacementBytes) }

// Tasks returns how many tasks a record holds that is written now.
func (l Layout) Tasks() int {
	if l.ByTask > 0 {
		return l.ByTask
	}
	return l.ByIndex
}

// Key returns the key of the record that holds a job's tasks from index times Tasks on.
func (l Layout) Key(job string, index int) Key {
	if l.ByTask > 0 {
		return Key{Job: job, ByTask: true, Ordinal: index * l.ByTask}
	}
	return Key{Job: job, Ordinal: index}
}

// Entry is a record as it was read, with the version of its key.
type Entry struct {
	Key     Key
	Version uint64
	Record  Record
}

// TasksOf returns how many tasks the record of a key holds.
func (l Layout) TasksOf(k Key) int {
	if k.ByTask {
		return l.ByTask
	}
	return l.ByIndex
}

// Part is what is known of the tasks of one record of the layout in use. Version is that of its key; 0 if
// it is not written yet, and all that is known comes from records of the first layout.
type Part struct {
	Record
	Version uint64
}

// Assemble returns the parts of a job, by index, from all its records.
func (l Layout) Assemble(found []Entry) map[int]Part {
	parts := map[int]Part{}
	for _, s := range found {
		if !s.Key.ByTask && l.ByTask > 0 {
			l.split(s, parts)
		}
	}
	for _, s := range found {
		switch {
		case s.Key.ByTask && l.ByTask > 0:
			parts[s.Key.Ordinal/l.ByTask] = Part{Record: s.Record, Version: s.Version}
		case !s.Key.ByTask && l.ByTask == 0:
			parts[s.Key.Ordinal] = Part{Record: s.Record, Version: s.Version}
		}
	}
	return parts
}

// split spreads a record of the first layout over parts of the second. Its highest attempt counts for all
// of them.
func (l Layout) split(s Entry, parts map[int]Part) {
	first := s.Key.Ordinal * l.ByIndex
	for task := first; task < first+l.ByIndex; task++ {
		index := task / l.ByTask
		part, known := parts[index]
		if !known {
			part.Record = Record{Done: NewBits(l.ByTask), Placed: map[int]Run{}}
		}
		part.HighestAttempt = max(part.HighestAttempt, s.Record.HighestAttempt)
		if s.Record.Done.Has(task - first) {
			part.Done.Set(task - index*l.ByTask)
		}
		if run, placed := s.Record.Placed[task]; placed {
			part.Placed[task] = run
		}
		parts[index] = part
	}
}

// DecodeLayout reads a stored layout.
func DecodeLayout(value json.RawMessage) (Layout, error) {
	var l Layout
	if err := json.Unmarshal(value, &l); err != nil {
		return Layout{}, fmt.Errorf("layout of the run records: %w", err)
	}
	return l, nil
}

// Encode returns the stored form of a layout.
func (l Layout) Encode() (json.RawMessage, error) { return json.Marshal(l) }
