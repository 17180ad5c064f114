package wire

import (
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"
)

const goodJob = `{"ref":"run-000412","lane":"train","broker":"vision","shape":"batch","urgency":"high","parcels":16,
"vcpus":8.0,"gpus":1.0,"memory_gb":64.0,"bundle":"img-07","image_gb":6.2,"rigs":["g8"],"hall":null,"one_zone":true,
"apart":false,"loaner":true,"expect_s":240.0,"stamp_s":30.0,"stow_s":4.0,"cutoff_s":900.0,"new":[1]}`

// Everything malformed is refused, whatever the kind of malformation.
func TestParseJob(t *testing.T) {
	j, err := ParseJob([]byte(goodJob))
	if err != nil || j.Tasks != 16 || j.MachineTypes[0] != "g8" || *j.DeadlineS != 900 {
		t.Fatalf("%+v %v", j, err)
	}
	for _, c := range [][2]string{
		{`"ref":"run-000412"`, `"ref":"run-x"`},
		{`"ref":"run-000412"`, `"REF":"run-000412"`}, // names are matched to the letter
		{`"ref":"run-000412",`, ``},
		{`"parcels":16`, `"parcels":0`},
		{`"parcels":16`, `"parcels":1.5`},
		{`"parcels":16`, `"parcels":100001`},
		{`"parcels":16`, `"parcels":"16"`},
		{`"vcpus":8.0`, `"vcpus":-1`},
		{`"vcpus":8.0`, `"vcpus":1e999`},
		{`"gpus":1.0`, `"gpus":null`},
		{`"shape":"batch"`, `"shape":"other"`},
		{`"urgency":"high"`, `"urgency":1`},
		{`"one_zone":true`, `"one_zone":"true"`},
		{`"rigs":["g8"]`, `"rigs":"g8"`},
		{`"rigs":["g8"]`, `"rigs":[null]`},
		{`"hall":null`, `"hall":7`},
		{`"cutoff_s":900.0`, `"cutoff_s":"soon"`},
		{`"bundle":"img-07"`, `"bundle":"` + strings.Repeat("x", 300) + `"`},
		{`"new":[1]}`, `"awaits":"run-000398"}`},
		{`"new":[1]}`, `"awaits":["run-000398",null]}`},
		{`"new":[1]}`, `"awaits":[398]}`},
		{`"new":[1]}`, `"awaits":{}}`},
		{`"new":[1]}`, `"new":[1]`},
		{`"new":[1]}`, `"new":[1]} x`},
	} {
		text := strings.Replace(goodJob, c[0], c[1], 1)
		if text == goodJob {
			t.Fatalf("%q is not in the job", c[0])
		}
		if _, err := ParseJob([]byte(text)); err == nil {
			t.Errorf("%s was taken", c[1])
		}
	}
	for _, text := range []string{"", "null", "[]", "7", `"x"`, strings.Repeat(" ", MaxBody) + goodJob} {
		if _, err := ParseJob([]byte(text)); err == nil {
			t.Errorf("%.20q was taken", text)
		}
	}
}

// A list of needed jobs may be absent, null or empty alike, and names each once. Whether a name is that
// of an accepted job is not a matter of form.
func TestParseNeeds(t *testing.T) {
	for list, want := range map[string][]string{
		`null`: nil,
		`[]`:   nil,
		`["run-000398","run-000405","run-000398"]`: {"run-000398", "run-000405"},
		`["nobody",""]`: {"nobody", ""},
	} {
		j, err := ParseJob([]byte(strings.Replace(goodJob, `"new":[1]`, `"awaits":`+list, 1)))
		if err != nil || !slices.Equal(j.Dependencies, want) {
			t.Errorf("%s gives %+v, %v", list, j, err)
		}
	}
	if n := MaxDependencies(2048); n*maxDependencyBytes > 1024 || n < 32 {
		t.Errorf("%d needed jobs for a value of 2 KiB", n)
	}
}

// TestFieldNames has the names in errors be those of the tags.
func TestFieldNames(t *testing.T) {
	job := reflect.TypeFor[Job]()
	tags := map[string]string{}
	for i := range job.NumField() {
		tags[job.Field(i).Name], _, _ = strings.Cut(job.Field(i).Tag.Get("json"), ",")
	}
	names := map[string]string{"ID": fieldID, "Class": fieldClass, "Team": fieldTeam, "Kind": fieldKind, "Priority": fieldPriority,
		"Tasks": fieldTasks, "CPUs": fieldCPUs, "GPUs": fieldGPUs, "MemoryGB": fieldMemoryGB, "Image": fieldImage, "ImageGB": fieldImageGB,
		"MachineTypes": fieldMachineTypes, "Zone": fieldZone, "SingleZone": fieldSingleZone, "SpreadZones": fieldSpreadZones,
		"Spot": fieldSpot, "EstimatedRunS": fieldEstimatedRunS, "CheckpointIntervalS": fieldCheckpointIntervalS,
		"CheckpointTimeS": fieldCheckpointTimeS, "DeadlineS": fieldDeadlineS, "Dependencies": FieldDependencies}
	if !maps.Equal(tags, names) {
		t.Errorf("the tags are %v, the names in errors %v", tags, names)
	}
}
