package stored_test

import (
	"encoding/json"
	"reflect"
	"testing"

	"bitternwing/internal/quota"
	"bitternwing/internal/record"
	"bitternwing/internal/rollout"
	"bitternwing/internal/stored"
	"bitternwing/internal/wire"
)

// The values in this file were written by the version before this package existed, and are kept unchanged. Values of
// that version remain in the store for as long as their keys exist, so they must never be regenerated.

// previousJob returns the job that both stored jobs below contain.
func previousJob() *wire.Job {
	deadline := 900.0
	return &wire.Job{ID: "run-000412", Class: "batch", Team: "red", Kind: wire.KindArray, Priority: "high", Tasks: 300, CPUs: 2, GPUs: 1,
		MemoryGB: 8, Image: "sim:4", ImageGB: 3.5, MachineTypes: []string{"g8"}, Zone: "a", Spot: true, EstimatedRunS: 120,
		DeadlineS: &deadline, Dependencies: []string{"run-000411"}}
}

const (
	previousSpec = `{"ref":"run-000412","lane":"batch","broker":"red","shape":"batch","urgency":"high","parcels":300,"vcpus":2,"gpus":1,` +
		`"memory_gb":8,"bundle":"sim:4","image_gb":3.5,"rigs":["g8"],"hall":"a","loaner":true,"expect_s":120,"stamp_s":0,"stow_s":0,` +
		`"cutoff_s":900,"awaits":["run-000411"]}`
	previousHeartbeats = `[{"host":"host-000231","addr":"10.1.0.232:9000","rig":"g8","hall":"a","loaner":false,"shift":2,"tally":80,` +
		`"baton":41,"recall_s":null,"parcels":[{"parcel":"run-000412/66","try":7,"status":"running"}]}]`
	previousCompressedHeartbeats = `"BMBRbsIwDIDhu/zPpnMDYsxXQWjySmgrWSlK0geEuPu+65tlax1j2Vo/qGo6jgh+v1eMUYdx0CEdk/2oKkJdZ4z5grB4BIYjxOYlV+zh0bLQlvXRsSR0` +
		`j3hhFxX+vG8FO41CzZNH/Das7BHC0+uUo2HXN0+vUw6MupeDqp7G9HU+I/T6wr6F1r3vDaPupaxl5nP73P4DAAD//w=="`
	previousPlan = `{"plan":{"name":"chat-9","team":"red","old":{"jobs":["svc-old"],"replica_capacity":10},"new":{"jobs":["svc-new"],` +
		`"replica_capacity":10},"promised_capacity":20,"steps":[{"jobs":["svc-new"],"share":1,"bake_s":60}],"checks":null,` +
		`"limits":{"wait_s":0,"unreachable_s":0,"router_gone_s":0,"keep_s":0}},"phase":"pending","step":0,"share":0,"since":1764720000000}`
	previousAccount = `{"w":{"l":{"g":1000,"c":64000}},"h":{"l":{"g":500,"c":32000}},"o":[{"f":"west","t":"east","n":3,` +
		`"s":{"l":{"g":250,"c":16000}}}],"x":{"east":3},"r":{"east":1}}`
)

func previousPlanRecord() *rollout.Record {
	return rollout.NewRecord(&rollout.Plan{Name: "chat-9", Team: "red", Old: rollout.VersionSpec{Jobs: []string{"svc-old"}, ReplicaCapacity: 10},
		New: rollout.VersionSpec{Jobs: []string{"svc-new"}, ReplicaCapacity: 10}, PromisedCapacity: 20,
		Steps: []rollout.Step{{Jobs: []string{"svc-new"}, Share: 1, BakeS: 60}}}, 1764720000000)
}

func previousQuotaAccount() *quota.Account {
	share := func(gpus, cpus int64) quota.Share { return quota.Share{Limit: quota.Amount{GPUs: gpus, CPUs: cpus}} }
	return &quota.Account{Total: share(1000, 64000), Held: share(500, 32000),
		Outgoing: []quota.Transfer{{From: "west", To: "east", Number: 3, Share: share(250, 16000)}},
		Sent:     map[string]uint64{"east": 3}, Received: map[string]uint64{"east": 1}}
}

func previousHeartbeat() *wire.Heartbeat {
	return &wire.Heartbeat{Machine: "host-000231", Addr: "10.1.0.232:9000", Type: "g8", Zone: "a", Incarnation: 2, Sequence: 80,
		FencingToken: 41, Tasks: []wire.TaskStatus{{Task: "run-000412/66", Attempt: 7, State: wire.TaskRunning}}}
}

// previousValue is a value of the previous version, and what it must be decoded as.
type previousValue struct {
	name, key, value string
	kind             stored.Kind
	decode           func(json.RawMessage) (any, error)
	encode           func() (json.RawMessage, error)
	want             any
}

// encoded encodes values of types that have no Encode method.
func encoded(v any) func() (json.RawMessage, error) {
	return func() (json.RawMessage, error) { return json.Marshal(v) }
}

func previousWatchedValues() []previousValue {
	active := stored.Job{Spec: previousJob(), AcceptedMS: 1764720000000}
	cancelled := active
	cancelled.CancelledMS = 1764720060000
	leader := stored.Leader{Node: "ctl-a", Incarnation: "ctl-a/7", Lease: 31, Term: 12}
	images := stored.NewImageHintPacker(16 << 10)
	images.Add("host-000231", []string{"sim:4", "train:9"})
	unreachable := stored.NewUnreachableHintPacker(16 << 10)
	unreachable.Add("host-000231", 1764720000100)
	layout := record.Layout{IndexLayoutTasks: 128, TaskLayoutTasks: 32}
	types := []wire.MachineType{{Name: "g8", CPUs: 64, GPUs: 8, MemoryGB: 512, Price: 20, SpotPrice: 8, BootS: 90, Zones: []string{"a", "b"}}}
	return []previousValue{
		{"a job", "w/a/run-000412", `{"job":` + previousSpec + `,"at":1764720000000}`, stored.KindJob,
			func(v json.RawMessage) (any, error) { return stored.DecodeJob(v) }, active.Encode, active},
		{"a cancelled job", "w/a/run-000412", `{"job":` + previousSpec + `,"at":1764720000000,"x":1764720060000}`, stored.KindJob,
			func(v json.RawMessage) (any, error) { return stored.DecodeJob(v) }, cancelled.Encode, cancelled},
		{"the leader", "w/lead", `{"node":"ctl-a","inc":"ctl-a/7","lease":31,"term":12}`, stored.KindLeader,
			func(v json.RawMessage) (any, error) { return stored.DecodeLeader(v) }, leader.Encode, leader},
		{"the layout", "w/layout", `{"by_index":128,"by_task":32}`, stored.KindRecordLayout,
			func(v json.RawMessage) (any, error) { return record.DecodeLayout(v) }, layout.Encode, layout},
		{"the machine types", "w/catalog", `[{"label":"g8","vcpus":64,"gpus":8,"memory_gb":512,"local_gb":0,"pull_gb_per_s":0,"hourly":20,` +
			`"low_price":8,"boot_s":90,"halls":["a","b"]}]`, stored.KindCatalog,
			func(v json.RawMessage) (any, error) { return stored.DecodeCatalog(v) },
			func() (json.RawMessage, error) { return stored.EncodeCatalog(types) }, types},
		{"image hints", "w/i/0", `{"host-000231":["sim:4","train:9"]}`, stored.KindImageHints,
			func(v json.RawMessage) (any, error) { return stored.DecodeImageHints(v) }, first(images.Encode),
			stored.ImageHints{"host-000231": {"sim:4", "train:9"}}},
		{"unreachable hints", "w/s", `{"host-000231":1764720000100}`, stored.KindUnreachableHints,
			func(v json.RawMessage) (any, error) { return stored.DecodeUnreachableHints(v) }, first(unreachable.Encode),
			stored.UnreachableHints{"host-000231": 1764720000100}},
		{"a plan", "w/p/chat-9", previousPlan, stored.KindPlan,
			func(v json.RawMessage) (any, error) { return rollout.Decode(v) }, encoded(previousPlanRecord()), previousPlanRecord()},
		{"a quota account", "w/q/red%2Fblue", previousAccount, stored.KindQuotaAccount,
			func(v json.RawMessage) (any, error) { return quota.Decode(v) }, encoded(previousQuotaAccount()), previousQuotaAccount()},
	}
}

// first returns the first value that a packer encodes.
func first(encode func() ([]json.RawMessage, error)) func() (json.RawMessage, error) {
	return func() (json.RawMessage, error) {
		values, err := encode()
		if err != nil {
			return nil, err
		}
		return values[0], nil
	}
}

// TestPreviousWatchedValues decodes one value of each watched kind and encodes it to the same bytes.
func TestPreviousWatchedValues(t *testing.T) {
	for _, v := range previousWatchedValues() {
		if kind, _ := stored.ParseWatchedKey(v.key); kind != v.kind {
			t.Errorf("%s: key %s has kind %d", v.name, v.key, kind)
		}
		got, err := v.decode(json.RawMessage(v.value))
		if err != nil || !reflect.DeepEqual(got, v.want) {
			t.Errorf("%s is decoded as %+v, %v", v.name, got, err)
		}
		if value, err := v.encode(); err != nil || string(value) != v.value {
			t.Errorf("%s is encoded as %s, %v", v.name, value, err)
		}
	}
}

// TestPreviousTerms decodes and encodes a term in each format.
func TestPreviousTerms(t *testing.T) {
	want := stored.Term{Number: 12, Node: "ctl-a"}
	for _, c := range []struct {
		value  string
		format stored.TermFormat
		layout record.Layout
	}{
		{`{"term":12,"node":"ctl-a"}`, stored.BaseTermFormat, record.Layout{IndexLayoutTasks: 128}},
		{`{"term":"12","node":"ctl-a"}`, stored.BaseTermFormat, record.Layout{IndexLayoutTasks: 128, TaskLayoutTasks: 32}},
		{`{"term":[12],"node":"ctl-a"}`, stored.RolloutsTermFormat, record.Layout{IndexLayoutTasks: 128, TaskLayoutTasks: 32}},
		{`{"term":[[12]],"node":"ctl-a"}`, stored.QuotasTermFormat, record.Layout{IndexLayoutTasks: 128}},
	} {
		term, format, err := stored.DecodeTerm(json.RawMessage(c.value))
		if err != nil || term != want || format != c.format {
			t.Errorf("%s is decoded as %+v, %s, %v", c.value, term, format, err)
		}
		if value, err := want.Encode(c.format, c.layout); err != nil || string(value) != c.value {
			t.Errorf("%s is encoded as %s, %v", c.value, value, err)
		}
	}
	if term, _, err := stored.DecodeTerm(json.RawMessage(`{"term":{"number":12},"node":"ctl-a"}`)); err == nil {
		t.Errorf("a term of a later version is decoded as %+v", term)
	}
}

// TestPreviousFinalStates decodes and encodes final states with and without the time of day, which versions without
// dependencies did not write.
func TestPreviousFinalStates(t *testing.T) {
	for value, want := range map[string]stored.FinalState{
		`{"s":"done","n":300,"at":1764720120000}`: {State: wire.JobDone, Done: 300, EndedMS: 1764720120000},
		`{"s":"withdrawn","n":12}`:                {State: wire.JobCancelled, Done: 12},
	} {
		if got, err := stored.DecodeFinalState(json.RawMessage(value)); err != nil || got != want {
			t.Errorf("%s is decoded as %+v, %v", value, got, err)
		}
		if got, err := want.Encode(); err != nil || string(got) != value {
			t.Errorf("%s is encoded as %s, %v", value, got, err)
		}
	}
	if key := stored.FinalStateKey("run-000412"); key != "f/run-000412" {
		t.Errorf("key of a final state is %s, want f/run-000412", key)
	}
}

// TestPreviousRunRecords decodes and encodes a record of each layout.
func TestPreviousRunRecords(t *testing.T) {
	layout := record.Layout{IndexLayoutTasks: 128, TaskLayoutTasks: 32}
	for _, c := range []struct {
		key, value string
		want       record.Key
		done       string
		placed     map[int]record.Run
	}{
		{"r/run-000412/1", `{"n":7,"d":"40","p":{"131":[5,"host-000231",1]}}`, record.Key{Job: "run-000412", Ordinal: 1},
			"40", map[int]record.Run{131: {Attempt: 5, Machine: "host-000231", Incarnation: 1}}},
		{"r/run-000412/t64", `{"n":7,"d":"0-1,9","p":{"66":[7,"host-000231",2]}}`, record.Key{Job: "run-000412", TaskLayout: true, Ordinal: 64},
			"0-1,9", map[int]record.Run{66: {Attempt: 7, Machine: "host-000231", Incarnation: 2}}},
	} {
		key, ok := stored.ParseRunRecordKey(c.key)
		if !ok || key != c.want || stored.RunRecordKey(key) != c.key {
			t.Errorf("%s is parsed as %+v", c.key, key)
		}
		got, err := record.Decode(json.RawMessage(c.value), layout.TasksIn(key))
		if err != nil || got.HighestAttempt != 7 || got.Done.String() != c.done || !reflect.DeepEqual(got.Placed, c.placed) {
			t.Errorf("%s is decoded as %+v, %v", c.value, got, err)
		}
		if value, err := got.Encode(); err != nil || string(value) != c.value {
			t.Errorf("%s is encoded as %s, %v", c.value, value, err)
		}
	}
}

// TestPreviousTaskCounts finds counts in the shards of their buckets, and encodes them to the same shards.
func TestPreviousTaskCounts(t *testing.T) {
	values := map[string]string{"w/n/6": `{"run-000412":[17,3]}`, "w/n/0": `{"run-000001":[2,2]}`, "w/n/8": `{"run-000007":[0,5]}`}
	shardOf := func(key string) (stored.TaskCountShard, bool) {
		value, used := values[key]
		shard, err := stored.DecodeTaskCountShard(json.RawMessage(value))
		if used && err != nil {
			t.Error(err)
		}
		return shard, used
	}
	for job, want := range map[string]stored.TaskCounts{"run-000412": {Running: 17, Done: 3}, "run-000007": {Done: 5}, "run-000099": {}} {
		if got := stored.FindTaskCounts(job, shardOf); got != want {
			t.Errorf("unexpected counts of job %s: %+v", job, got)
		}
	}
	packer := stored.NewTaskCountPacker(16 << 10)
	packer.Add("run-000412", stored.TaskCounts{Running: 17, Done: 3})
	packer.Add("run-000413", stored.TaskCounts{})
	shards, err := packer.Encode()
	if err != nil || len(shards) != 7 || string(shards[6]) != values["w/n/6"] {
		t.Fatalf("%d shards, %s, %v", len(shards), shards, err)
	}
	for i, shard := range shards[:6] {
		if string(shard) != stored.EmptyShard {
			t.Errorf("shard %d has no jobs and is %s", i, shard)
		}
	}
}

// TestPreviousRelayedHeartbeats decodes and encodes relayed heartbeats, plain and compressed.
func TestPreviousRelayedHeartbeats(t *testing.T) {
	heartbeat, err := json.Marshal(previousHeartbeat())
	if err != nil {
		t.Fatal(err)
	}
	for _, value := range []string{previousHeartbeats, previousCompressedHeartbeats} {
		got, err := stored.DecodeRelayedHeartbeats(json.RawMessage(value))
		if err != nil || !reflect.DeepEqual(got, []*wire.Heartbeat{previousHeartbeat()}) {
			t.Errorf("%s is decoded as %+v, %v", value, got, err)
		}
	}
	plain := stored.RelayedHeartbeatPacker{MaxBytes: 16 << 10}
	if values, tooLarge := plain.Pack([]json.RawMessage{heartbeat}); tooLarge != 0 || len(values) != 1 || string(values[0]) != previousHeartbeats {
		t.Errorf("encoded as %s", values)
	}
	// The bytes of a compressed list may change with the compressor, but it must decode to the same heartbeats.
	compressed := stored.RelayedHeartbeatPacker{MaxBytes: 16 << 10, Compressed: true}
	values, tooLarge := compressed.Pack([]json.RawMessage{heartbeat})
	if tooLarge != 0 || len(values) != 1 || values[0][0] != '"' {
		t.Fatalf("encoded as %s", values)
	}
	if got, err := stored.DecodeRelayedHeartbeats(values[0]); err != nil || !reflect.DeepEqual(got, []*wire.Heartbeat{previousHeartbeat()}) {
		t.Errorf("%s is decoded as %+v, %v", values[0], got, err)
	}
	kind, name := stored.ParseWatchedKey("w/k/ctl-b/3")
	if kind != stored.KindRelayedHeartbeats || stored.RelayingNode(name) != "ctl-b" || stored.RelayedHeartbeatsKey("ctl-b", 3) != "w/k/ctl-b/3" {
		t.Errorf("key parsed as kind %d, name %s, or the node or the key itself differs", kind, name)
	}
}

// TestKeys checks that each key is parsed as the kind that it was created for, and all others as unknown.
func TestKeys(t *testing.T) {
	for key, want := range map[string]stored.Kind{
		"w/a/run-000412": stored.KindJob, stored.JobKey("run-000412"): stored.KindJob,
		"w/n/11": stored.KindTaskCounts, stored.TaskCountKey(11): stored.KindTaskCounts,
		"w/p/chat-9": stored.KindPlan, stored.PlanKey("chat-9"): stored.KindPlan,
		"w/q/red%2Fblue": stored.KindQuotaAccount, stored.QuotaAccountKey("red/blue"): stored.KindQuotaAccount,
		"w/i/4": stored.KindImageHints, stored.ImageHintKey(4): stored.KindImageHints,
		"w/s": stored.KindUnreachableHints, stored.UnreachableHintKey(0): stored.KindUnreachableHints,
		"w/s/2": stored.KindUnreachableHints, stored.UnreachableHintKey(2): stored.KindUnreachableHints,
		"w/lead": stored.KindLeader, "w/term": stored.KindTerm, "w/catalog": stored.KindCatalog, "w/layout": stored.KindRecordLayout,
		"w/a/": stored.KindUnknown, "w/later": stored.KindUnknown, "w/sx": stored.KindUnknown, "f/run-000412": stored.KindUnknown,
		"r/run-000412/1": stored.KindUnknown,
	} {
		if got, _ := stored.ParseWatchedKey(key); got != want {
			t.Errorf("%s has kind %d, want %d", key, got, want)
		}
	}
	if key := stored.QuotaAccountKey("red/blue"); key != "w/q/red%2Fblue" {
		t.Errorf("key of a quota account is %s, want w/q/red%%2Fblue", key)
	}
}
