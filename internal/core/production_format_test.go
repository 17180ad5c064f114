package core

import (
	"encoding/json"
	"strconv"
	"strings"
	"testing"

	"bitternwing/internal/record"
	"bitternwing/internal/wire"
)

// A frozen copy of what the version in production before dependencies reads from the state service. It
// stays as it is: that version can't be mended, and nodes of both run side by side.
type (
	productionJob struct {
		ID        string   `json:"ref"`
		Class     string   `json:"lane"`
		Team      string   `json:"broker"`
		Kind      string   `json:"shape"`
		Priority  string   `json:"urgency"`
		Tasks     int      `json:"parcels"`
		CPUs      float64  `json:"vcpus"`
		GPUs      float64  `json:"gpus"`
		MemoryGB  float64  `json:"memory_gb"`
		Image     string   `json:"bundle"`
		ImageGB   float64  `json:"image_gb"`
		Types     []string `json:"rigs,omitempty"`
		Zone      string   `json:"hall,omitempty"`
		OneZone   bool     `json:"one_zone,omitempty"`
		Spread    bool     `json:"apart,omitempty"`
		Spot      bool     `json:"loaner,omitempty"`
		EstimateS float64  `json:"expect_s"`
		DeadlineS *float64 `json:"cutoff_s,omitempty"`
	}
	productionActive struct {
		Job         *productionJob `json:"job"`
		AtMS        int64          `json:"at"`
		CancelledMS int64          `json:"x,omitempty"`
	}
	productionFinal struct {
		State string `json:"s"`
		Done  int    `json:"n"`
	}
	productionLead struct {
		Node        string `json:"node"`
		Incarnation string `json:"inc"`
		Lease       uint64 `json:"lease"`
		Term        uint64 `json:"term"`
	}
	productionTerm struct {
		Term uint64 `json:"term"`
		Node string `json:"node"`
	}
	productionRecord struct {
		Next   uint64                     `json:"n"`
		Done   string                     `json:"d,omitempty"`
		Placed map[string]json.RawMessage `json:"p,omitempty"`
	}
)

// productionPrefixes are those below which that version reads keys of the watch, beside whole keys.
var productionPrefixes = []string{"w/a/", "w/n/", "w/i/", "w/k/"}

// productionKeys are the whole keys that it reads.
var productionKeys = []string{"w/lead", "w/term", "w/catalog", "w/s"}

func encoded(t *testing.T, v any, err error) json.RawMessage {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	b, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestProductionReads shows what that version makes of the values that are written now.
func TestProductionReads(t *testing.T) {
	deadline := 60.0
	job := &wire.Job{ID: "run-000001", Team: "red", Kind: wire.KindArray, Priority: "high", Tasks: 3, CPUs: 2, Image: "i",
		DeadlineS: &deadline, Dependencies: []string{"run-000000"}}
	active, ok := decode[productionActive](encoded(t, activeJob{Spec: job, AcceptedMS: 7, CancelledMS: 9}, nil))
	if !ok || active.Job.ID != job.ID || active.Job.Tasks != 3 || *active.Job.DeadlineS != 60 || active.AtMS != 7 || active.CancelledMS != 9 {
		t.Errorf("a job: %+v %v", active, ok)
	}
	final, ok := decode[productionFinal](encoded(t, finalState{State: wire.JobDone, Done: 3, EndedMS: 12}, nil))
	if !ok || final.State != string(wire.JobDone) || final.Done != 3 {
		t.Errorf("an end: %+v %v", final, ok)
	}
	lead, ok := decode[productionLead](encoded(t, leaderRecord{"a", "a1", 4, 5}, nil))
	if !ok || lead != (productionLead{"a", "a1", 4, 5}) {
		t.Errorf("the leader: %+v %v", lead, ok)
	}
	first := record.Record{Next: 4, Done: record.NewBits(128), Placed: map[int]record.Run{1: {Attempt: 2, Machine: "m", Session: 1}}}
	first.Done.Set(0)
	value, err := first.Encode()
	if err != nil {
		t.Fatal(err)
	}
	old, ok := decode[productionRecord](value)
	if !ok || old.Next != 4 || old.Done != "0" || string(old.Placed["1"]) != `[2,"m",1]` {
		t.Errorf("a record of the first layout: %s", value)
	}
}

// TestProductionIsFenced shows that a node of that version can't win a term once the second layout is in
// use, whose records it would delete; before, it can.
func TestProductionIsFenced(t *testing.T) {
	for _, c := range []struct {
		layout record.Layout
		reads  bool
	}{{record.Layout{ByIndex: 128}, true}, {record.Layout{ByIndex: 128, ByTask: 16}, false}} {
		value, err := encodeTerm(termRecord{12, "a"}, c.layout)
		if err != nil {
			t.Fatal(err)
		}
		if _, ok := decode[productionTerm](value); ok != c.reads {
			t.Errorf("%s is read: %v", value, ok)
		}
		if term, _, ok := decodeTerm(value); !ok || term != (termRecord{12, "a"}) {
			t.Errorf("%s is %+v here", value, term)
		}
	}
	key := record.Layout{ByIndex: 128, ByTask: 16}.Key("run-000001", 3).String()
	if _, err := strconv.Atoi(strings.TrimPrefix(key, "run-000001/")); err == nil {
		t.Errorf("%s would be taken for an index", key)
	}
	for _, prefix := range productionPrefixes {
		if strings.HasPrefix(recordLayoutKey, prefix) {
			t.Errorf("%s lies below %s", recordLayoutKey, prefix)
		}
	}
	for _, key := range productionKeys {
		if key == recordLayoutKey {
			t.Errorf("%s has another meaning there", key)
		}
	}
}

// TestRelayedReports packs the reports of a zone whose machines are full of small tasks into small
// values, and reads them back; in the form of before as well.
func TestRelayedReports(t *testing.T) {
	const machines, tasks = 20, 64
	var reports []json.RawMessage
	for m := range machines {
		r := wire.Heartbeat{Machine: "host-0000" + strconv.Itoa(m), Addr: "10.1.0.232:9000", Type: "g8", Zone: "a", Incarnation: 1, Sequence: 80, FencingToken: 41}
		for i := range tasks {
			r.Tasks = append(r.Tasks, wire.TaskStatus{Task: wire.TaskName("run-00041"+strconv.Itoa(m), i), Attempt: uint64(i), State: wire.TaskRunning})
		}
		reports = append(reports, encoded(t, r, nil))
	}
	for _, packer := range []*relayPacker{{maxBytes: 16 << 10}, {maxBytes: 1800, compressed: true}} {
		if tooLarge := packer.pack(reports); tooLarge != 0 {
			t.Errorf("%d reports fit into no value of %d bytes", tooLarge, packer.maxBytes)
		}
		n := 0
		for _, value := range packer.values {
			if len(value) > packer.maxBytes {
				t.Errorf("a value of %d bytes", len(value))
			}
			for _, r := range decodeRelayed(value) {
				if len(r.Tasks) == tasks && r.Sequence == 80 {
					n++
				}
			}
		}
		if n != machines {
			t.Errorf("%d of %d reports are read back", n, machines)
		}
	}
	small := &relayPacker{maxBytes: 1800}
	if tooLarge := small.pack(reports); tooLarge != machines {
		t.Errorf("%d reports of %d are too large", tooLarge, machines)
	}
	for _, value := range []string{`"x"`, `"!"`, `{}`, `[{"host":7}]`, `"` + strings.Repeat("A", 100) + `"`} {
		if got := decodeRelayed(json.RawMessage(value)); got != nil {
			t.Errorf("%s gives %v", value, got)
		}
	}
}

// A cancellation rewrites a job whole, which may have been accepted as larger than values may be by now.
func TestCancellationFits(t *testing.T) {
	c := &Core{limits: &storeLimits{}}
	c.limits.next.ValueKB = 2
	long := strings.Repeat("x", 256)
	job := &wire.Job{ID: "run-000001", Class: long, Team: long, Kind: wire.KindArray, Tasks: 5, Image: long, Zone: long}
	for range 32 {
		job.MachineTypes = append(job.MachineTypes, long)
	}
	value, err := c.encodeActive(activeJob{Spec: job, AcceptedMS: 1, CancelledMS: 2})
	if err != nil || len(value) > 2048 {
		t.Fatalf("%d bytes, %v", len(value), err)
	}
	read, ok := decode[activeJob](value)
	if !ok || read.CancelledMS != 2 || read.Spec.Tasks != 5 || read.Spec.Team != long {
		t.Errorf("%+v", read)
	}
	if len(job.MachineTypes) != 32 {
		t.Error("the job itself was changed")
	}
}
