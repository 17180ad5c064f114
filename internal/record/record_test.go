package record

import (
	"encoding/json"
	"reflect"
	"testing"
)

// A record as version 1 wrote it, kept unchanged. Its records have 128 tasks.
const (
	version1Key   = "run-000412/1"
	version1Value = `{"n":7,"d":"0-2,40","p":{"131":[5,"host-000231",1],"250":[7,"host-000007",3]}}`
)

func TestVersion1Record(t *testing.T) {
	key, ok := ParseKey(version1Key)
	if !ok || key != (Key{Job: "run-000412", Ordinal: 1}) || key.String() != version1Key {
		t.Fatalf("key parsed as %+v", key)
	}
	r, err := Decode(json.RawMessage(version1Value), 128)
	if err != nil {
		t.Fatal(err)
	}
	if r.HighestAttempt != 7 || r.Done.Count() != 4 || !r.Done.Has(40) || r.Placed[250] != (Run{7, "host-000007", 3}) {
		t.Errorf("decoded as %+v", r)
	}
	if b, err := r.Encode(); err != nil || string(b) != version1Value {
		t.Errorf("encoded as %s, %v, want the old value", b, err)
	}
}

func TestMalformed(t *testing.T) {
	for _, value := range []string{`{"n":-1}`, `[]`, `{"n":1,"p":{"x":[1,"m",1]}}`, `{"n":1,"p":{"0":"m"}}`} {
		if r, err := Decode(json.RawMessage(value), 8); err == nil {
			t.Errorf("%s is decoded as %+v, want an error", value, r)
		}
	}
	for _, key := range []string{"run-000412", "run-000412/x", "run-000412/-1", "run-000412/t", "run-000412/t-1"} {
		if k, ok := ParseKey(key); ok {
			t.Errorf("%s is parsed as %+v, want false", key, k)
		}
	}
}

// TestSplit distributes a record of the first layout over parts of the second. A record of the second layout overrides
// its part.
func TestSplit(t *testing.T) {
	layout := Layout{IndexLayoutTasks: 128, TaskLayoutTasks: 16}
	key, _ := ParseKey(version1Key)
	old, err := Decode(json.RawMessage(version1Value), layout.TasksIn(key))
	if err != nil {
		t.Fatal(err)
	}
	newKey := layout.Key("run-000412", 15)
	if newKey.String() != "run-000412/t240" {
		t.Fatalf("key is %s, want run-000412/t240", newKey)
	}
	parsed, ok := ParseKey(newKey.String())
	if !ok || parsed != newKey || layout.TasksIn(parsed) != 16 {
		t.Fatalf("key parsed as %+v", parsed)
	}
	newer := Record{HighestAttempt: 9, Done: NewBits(16), Placed: map[int]Run{251: {9, "host-000008", 1}}}
	newer.Done.Add(10) // task 250
	parts := layout.Assemble([]Entry{{newKey, 31, newer}, {key, 12, old}})

	if len(parts) != 8 {
		t.Errorf("%d parts, want 8 of 16 tasks each", len(parts))
	}
	first := parts[8] // tasks 128 to 143
	if first.Version != 0 || first.HighestAttempt != 7 || first.Done.String() != "0-2" ||
		!reflect.DeepEqual(first.Placed, map[int]Run{131: {5, "host-000231", 1}}) {
		t.Errorf("unexpected part 8: %+v", first)
	}
	if third := parts[10]; third.Done.String() != "8" || len(third.Placed) != 0 || third.HighestAttempt != 7 {
		t.Errorf("unexpected part 10: %+v", third)
	}
	if last := parts[15]; last.Version != 31 || !reflect.DeepEqual(last.Record, newer) {
		t.Errorf("unexpected part 15: %+v", last)
	}
}

// TestSplitUneven checks a record size of the first layout that is not a multiple of the size of the second.
func TestSplitUneven(t *testing.T) {
	layout := Layout{IndexLayoutTasks: 8, TaskLayoutTasks: 5}
	record := func(highestAttempt uint64, done string) Record {
		r := Record{HighestAttempt: highestAttempt, Done: NewBits(8), Placed: map[int]Run{}}
		r.Done.addRanges(done)
		return r
	}
	parts := layout.Assemble([]Entry{
		{Key{Job: "j", Ordinal: 0}, 1, record(3, "0-7")},
		{Key{Job: "j", Ordinal: 1}, 1, record(4, "0,7")},
	})
	for index, want := range []struct {
		highestAttempt uint64
		done           string
	}{{3, "0-4"}, {4, "0-3"}, {4, ""}, {4, "0"}} {
		if p := parts[index]; p.HighestAttempt != want.highestAttempt || p.Done.String() != want.done {
			t.Errorf("unexpected part %d: %+v", index, p)
		}
	}
}

// TestFirstLayout checks that while only the first layout is in use, records are returned unchanged, whatever the
// settings are now.
func TestFirstLayout(t *testing.T) {
	layout := Layout{IndexLayoutTasks: IndexLayoutTasks(16)}
	if layout.TasksPerRecord() != 128 || layout.Key("j", 2).String() != "j/2" || IndexLayoutTasks(0.5) != 8 {
		t.Errorf("unexpected record size or key of layout %+v", layout)
	}
	r := Record{HighestAttempt: 1, Done: NewBits(128), Placed: map[int]Run{300: {1, "m", 1}}}
	parts := layout.Assemble([]Entry{{layout.Key("j", 2), 5, r}})
	if len(parts) != 1 || parts[2].Version != 5 || !reflect.DeepEqual(parts[2].Record, r) {
		t.Errorf("unexpected parts %+v", parts)
	}
}

// TestFullRecordFits checks that a record of the second layout fits into its value even if all its tasks are placed.
func TestFullRecordFits(t *testing.T) {
	for _, valueBytes := range []int{1024, 2048, 16384} {
		tasks := TaskLayoutTasks(valueBytes)
		r := Record{HighestAttempt: 1_000_000, Done: NewBits(tasks), Placed: map[int]Run{}}
		for i := range tasks {
			r.Placed[99_000+i] = Run{1_000_000, "host-000000000000000231", 100}
		}
		if b, err := r.Encode(); err != nil || len(b) > valueBytes {
			t.Errorf("record of %d tasks encoded to %d bytes, want at most %d; error %v", tasks, len(b), valueBytes, err)
		}
	}
}
