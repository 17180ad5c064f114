package record

import (
	"encoding/json"
	"reflect"
	"testing"
)

// What version 1 wrote, kept as it was: with records of 128 tasks.
const (
	oldKey   = "run-000412/1"
	oldValue = `{"n":7,"d":"0-2,40","p":{"131":[5,"host-000231",1],"250":[7,"host-000007",3]}}`
)

func TestOldRecord(t *testing.T) {
	key, ok := ParseKey(oldKey)
	if !ok || key != (Key{Job: "run-000412", Ordinal: 1}) || key.String() != oldKey {
		t.Fatalf("%+v", key)
	}
	r, err := Decode(json.RawMessage(oldValue), 128)
	if err != nil {
		t.Fatal(err)
	}
	if r.HighestAttempt != 7 || r.Done.Count() != 4 || !r.Done.Has(40) || r.Placed[250] != (Run{7, "host-000007", 3}) {
		t.Errorf("%+v", r)
	}
	if b, err := r.Encode(); err != nil || string(b) != oldValue {
		t.Errorf("written again it is %s, %v", b, err)
	}
}

func TestMalformed(t *testing.T) {
	for _, value := range []string{`{"n":-1}`, `[]`, `{"n":1,"p":{"x":[1,"m",1]}}`, `{"n":1,"p":{"0":"m"}}`} {
		if r, err := Decode(json.RawMessage(value), 8); err == nil {
			t.Errorf("%s gives %+v", value, r)
		}
	}
	for _, key := range []string{"run-000412", "run-000412/x", "run-000412/-1", "run-000412/t", "run-000412/t-1"} {
		if k, ok := ParseKey(key); ok {
			t.Errorf("%s gives %+v", key, k)
		}
	}
}

// A record of the first layout is spread over the parts of the second, whose own records override it.
func TestSplit(t *testing.T) {
	layout := Layout{ByIndex: 128, ByTask: 16}
	key, _ := ParseKey(oldKey)
	old, err := Decode(json.RawMessage(oldValue), layout.TasksOf(key))
	if err != nil {
		t.Fatal(err)
	}
	newKey := layout.Key("run-000412", 15)
	if newKey.String() != "run-000412/t240" {
		t.Fatalf("the key is %s", newKey)
	}
	again, ok := ParseKey(newKey.String())
	if !ok || again != newKey || layout.TasksOf(again) != 16 {
		t.Fatalf("%+v", again)
	}
	newer := Record{HighestAttempt: 9, Done: NewBits(16), Placed: map[int]Run{251: {9, "host-000008", 1}}}
	newer.Done.Set(10) // task 250
	parts := layout.Assemble([]Entry{{newKey, 31, newer}, {key, 12, old}})

	if len(parts) != 8 {
		t.Errorf("%d parts of 128 tasks", len(parts))
	}
	first := parts[8] // tasks 128 to 143
	if first.Version != 0 || first.HighestAttempt != 7 || first.Done.String() != "0-2" ||
		!reflect.DeepEqual(first.Placed, map[int]Run{131: {5, "host-000231", 1}}) {
		t.Errorf("%+v", first)
	}
	if third := parts[10]; third.Done.String() != "8" || len(third.Placed) != 0 || third.HighestAttempt != 7 {
		t.Errorf("%+v", third)
	}
	if last := parts[15]; last.Version != 31 || !reflect.DeepEqual(last.Record, newer) {
		t.Errorf("%+v", last)
	}
}

// A size of the one layout need not divide that of the other.
func TestSplitUneven(t *testing.T) {
	layout := Layout{ByIndex: 8, ByTask: 5}
	record := func(next uint64, done string) Record {
		r := Record{HighestAttempt: next, Done: NewBits(8), Placed: map[int]Run{}}
		r.Done.read(done)
		return r
	}
	parts := layout.Assemble([]Entry{
		{Key{Job: "j", Ordinal: 0}, 1, record(3, "0-7")},
		{Key{Job: "j", Ordinal: 1}, 1, record(4, "0,7")},
	})
	for index, want := range []struct {
		next uint64
		done string
	}{{3, "0-4"}, {4, "0-3"}, {4, ""}, {4, "0"}} {
		if p := parts[index]; p.HighestAttempt != want.next || p.Done.String() != want.done {
			t.Errorf("part %d is %+v", index, p)
		}
	}
}

// Without the second layout, and with settings that have changed, a record stays what it was.
func TestFirstLayout(t *testing.T) {
	layout := Layout{ByIndex: ByIndexFor(16)}
	if layout.Tasks() != 128 || layout.Key("j", 2).String() != "j/2" || ByIndexFor(0.5) != 8 {
		t.Errorf("%+v", layout)
	}
	r := Record{HighestAttempt: 1, Done: NewBits(128), Placed: map[int]Run{300: {1, "m", 1}}}
	parts := layout.Assemble([]Entry{{layout.Key("j", 2), 5, r}})
	if len(parts) != 1 || parts[2].Version != 5 || !reflect.DeepEqual(parts[2].Record, r) {
		t.Errorf("%+v", parts)
	}
}

// A record of the second layout that is full of placements fits into the value that it was made for.
func TestFullRecordFits(t *testing.T) {
	for _, valueBytes := range []int{1024, 2048, 16384} {
		tasks := ByTaskFor(valueBytes)
		r := Record{HighestAttempt: 1_000_000, Done: NewBits(tasks), Placed: map[int]Run{}}
		for i := range tasks {
			r.Placed[99_000+i] = Run{1_000_000, "host-000000000000000231", 100}
		}
		if b, err := r.Encode(); err != nil || len(b) > valueBytes {
			t.Errorf("%d tasks take %d of %d bytes, %v", tasks, len(b), valueBytes, err)
		}
	}
}
