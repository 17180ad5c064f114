package wire

import (
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"
)

const validJob = `{"ref":"run-000412","lane":"train","broker":"vision","shape":"batch","urgency":"high","parcels":16,
"vcpus":8.0,"gpus":1.0,"memory_gb":64.0,"bundle":"img-07","image_gb":6.2,"rigs":["g8"],"hall":null,"one_zone":true,
"apart":false,"loaner":true,"expect_s":240.0,"stamp_s":30.0,"stow_s":4.0,"cutoff_s":900.0,"new":[1]}`

// TestParseJob checks that submissions with a missing, malformed or out-of-range field, and bodies that are no JSON
// object, are refused.
func TestParseJob(t *testing.T) {
	job, err := ParseJob([]byte(validJob))
	if err != nil || job.Tasks != 16 || job.MachineTypes[0] != "g8" || *job.DeadlineS != 900 {
		t.Fatalf("%+v %v", job, err)
	}
	for _, replacement := range [][2]string{
		{`"ref":"run-000412"`, `"ref":"run-x"`},
		{`"ref":"run-000412"`, `"REF":"run-000412"`}, // names are case-sensitive
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
		text := strings.Replace(validJob, replacement[0], replacement[1], 1)
		if text == validJob {
			t.Fatalf("%q is not in the job", replacement[0])
		}
		if _, err := ParseJob([]byte(text)); err == nil {
			t.Errorf("%s was accepted", replacement[1])
		}
	}
	for _, text := range []string{"", "null", "[]", "7", `"x"`, strings.Repeat(" ", MaxBodyBytes) + validJob} {
		if _, err := ParseJob([]byte(text)); err == nil {
			t.Errorf("%.20q was accepted", text)
		}
	}
}

// TestParseDependencies checks that a null or empty list means no dependencies, and that repeated ids are removed.
// Whether the jobs exist is not checked here.
func TestParseDependencies(t *testing.T) {
	for list, want := range map[string][]string{
		`null`: nil,
		`[]`:   nil,
		`["run-000398","run-000405","run-000398"]`: {"run-000398", "run-000405"},
		`["nobody",""]`: {"nobody", ""},
	} {
		job, err := ParseJob([]byte(strings.Replace(validJob, `"new":[1]`, `"awaits":`+list, 1)))
		if err != nil || !slices.Equal(job.Dependencies, want) {
			t.Errorf("%s gives %+v, %v", list, job, err)
		}
	}
	if limit := MaxDependencies(2048); limit*maxDependencyBytes > 1024 || limit < 32 {
		t.Errorf("maximum of %d dependencies for a value of 2 KiB", limit)
	}
}

// TestFieldNames checks that error messages use the names of the field tags.
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
		t.Errorf("field tags: %v, names in errors: %v", tags, names)
	}
}
