package stored

import (
	"encoding/json"
	"strconv"
	"strings"
	"testing"

	"bitternwing/internal/record"
	"bitternwing/internal/wire"
)

// These types are a frozen copy of what the production version before dependencies reads from the key-value store. They
// must not change: that version can't be fixed any more, and nodes of both versions run side by side.
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

// productionPrefixes are the prefixes of watched keys that the production version reads.
var productionPrefixes = []string{"w/a/", "w/n/", "w/i/", "w/k/"}

// productionKeys are the watched keys that it reads in addition.
var productionKeys = []string{"w/lead", "w/term", "w/catalog", "w/s"}

func encoded(t *testing.T, v any) json.RawMessage {
	t.Helper()
	b, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestProductionReads checks how that version decodes the values that are written now.
func TestProductionReads(t *testing.T) {
	deadline := 60.0
	job := &wire.Job{ID: "run-000001", Team: "red", Kind: wire.KindArray, Priority: "high", Tasks: 3, CPUs: 2, Image: "i",
		DeadlineS: &deadline, Dependencies: []string{"run-000000"}}
	active, err := decode[productionActive](encoded(t, Job{Spec: job, AcceptedMS: 7, CancelledMS: 9}))
	if err != nil || active.Job.ID != job.ID || active.Job.Tasks != 3 || *active.Job.DeadlineS != 60 || active.AtMS != 7 || active.CancelledMS != 9 {
		t.Errorf("job decoded as %+v, error %v", active, err)
	}
	final, err := decode[productionFinal](encoded(t, FinalState{State: wire.JobDone, Done: 3, EndedMS: 12}))
	if err != nil || final.State != string(wire.JobDone) || final.Done != 3 {
		t.Errorf("final state decoded as %+v, error %v", final, err)
	}
	lead, err := decode[productionLead](encoded(t, Leader{"a", "a1", 4, 5}))
	if err != nil || lead != (productionLead{"a", "a1", 4, 5}) {
		t.Errorf("leader decoded as %+v, error %v", lead, err)
	}
	first := record.Record{HighestAttempt: 4, Done: record.NewBits(128), Placed: map[int]record.Run{1: {Attempt: 2, Machine: "m", Incarnation: 1}}}
	first.Done.Add(0)
	value, err := first.Encode()
	if err != nil {
		t.Fatal(err)
	}
	old, err := decode[productionRecord](value)
	if err != nil || old.Next != 4 || old.Done != "0" || string(old.Placed["1"]) != `[2,"m",1]` {
		t.Errorf("record of the index layout not decoded as expected: %s", value)
	}
}

// TestProductionIsFenced checks that a node of that version can win a term, but no longer once the task layout is in
// use, whose records it would delete.
func TestProductionIsFenced(t *testing.T) {
	for _, c := range []struct {
		layout record.Layout
		reads  bool
	}{{record.Layout{IndexLayoutTasks: 128}, true}, {record.Layout{IndexLayoutTasks: 128, TaskLayoutTasks: 16}, false}} {
		value, err := Term{12, "a"}.Encode(BaseTermFormat, c.layout)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := decode[productionTerm](value); (err == nil) != c.reads {
			t.Errorf("unexpected result of decoding %s: %v", value, err)
		}
		if term, format, err := DecodeTerm(value); err != nil || format != BaseTermFormat || term != (Term{12, "a"}) {
			t.Errorf("%s is decoded as %+v, format %v, error %v", value, term, format, err)
		}
	}
	key := record.Layout{IndexLayoutTasks: 128, TaskLayoutTasks: 16}.Key("run-000001", 3).String()
	if _, err := strconv.Atoi(strings.TrimPrefix(key, "run-000001/")); err == nil {
		t.Errorf("%s would be parsed as a record index", key)
	}
	for _, prefix := range productionPrefixes {
		if strings.HasPrefix(RecordLayoutKey, prefix) {
			t.Errorf("%s has the prefix %s", RecordLayoutKey, prefix)
		}
	}
	for _, key := range productionKeys {
		if key == RecordLayoutKey {
			t.Errorf("%s has another meaning in the production version", key)
		}
	}
}
