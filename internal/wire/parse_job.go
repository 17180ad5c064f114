package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
)

// FieldDependencies is the protocol's name of a job's dependencies, for error messages to users.
const FieldDependencies = "awaits"

// The protocol's names of a job's other fields, as in the tags of Job, for error messages to users.
const (
	fieldID                  = "ref"
	fieldClass               = "lane"
	fieldTeam                = "broker"
	fieldKind                = "shape"
	fieldPriority            = "urgency"
	fieldCPUs                = "vcpus"
	fieldGPUs                = "gpus"
	fieldMemoryGB            = "memory_gb"
	fieldImage               = "bundle"
	fieldImageGB             = "image_gb"
	fieldZone                = "hall"
	fieldSingleZone          = "one_zone"
	fieldSpreadZones         = "apart"
	fieldSpot                = "loaner"
	fieldEstimatedRunS       = "expect_s"
	fieldCheckpointIntervalS = "stamp_s"
	fieldCheckpointTimeS     = "stow_s"
	fieldDeadlineS           = "cutoff_s"
	fieldTasks               = "parcels"
	fieldMachineTypes        = "rigs"
)

// maxAmount is the maximum of all amounts.
const maxAmount = 1e9

// fields are the undecoded fields of a submission, with the first error found while decoding them.
type fields struct {
	raw map[string]json.RawMessage
	err error
}

// get returns an undecoded field. It returns false if the field is absent or null.
func (f *fields) get(name string) (json.RawMessage, bool) {
	raw, ok := f.raw[name]
	if !ok || string(raw) == "null" {
		return nil, false
	}
	return raw, true
}

// fail records an error of a field unless there is one already.
func (f *fields) fail(name, problem string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: %s", name, problem)
	}
}

// text decodes a name: a string of 1 to maxNameBytes bytes. It returns an empty string for an absent field.
func (f *fields) text(name string, required bool) string {
	raw, ok := f.get(name)
	if !ok {
		if required {
			f.fail(name, "is missing")
		}
		return ""
	}
	var text string
	if json.Unmarshal(raw, &text) != nil {
		f.fail(name, "must be a string")
		return ""
	}
	if text == "" || len(text) > maxNameBytes {
		f.fail(name, fmt.Sprintf("must have 1 to %d bytes", maxNameBytes))
	}
	return text
}

// amount decodes a number from 0 to maxAmount. It returns nil for an absent field.
func (f *fields) amount(name string, required bool) *float64 {
	raw, ok := f.get(name)
	if !ok {
		if required {
			f.fail(name, "is missing")
		}
		return nil
	}
	var amount float64
	if json.Unmarshal(raw, &amount) != nil || math.IsInf(amount, 0) || math.IsNaN(amount) {
		f.fail(name, "must be a number")
		return nil
	}
	if amount < 0 || amount > maxAmount {
		f.fail(name, "is out of range")
	}
	return &amount
}

// ids decodes a list of job IDs and removes repeated ones. It keeps strings that are no valid job ID, because whether a
// job exists is checked elsewhere. An empty list counts as absent.
func (f *fields) ids(name string) []string {
	raw, ok := f.get(name)
	if !ok {
		return nil
	}
	var entries []*string
	if json.Unmarshal(raw, &entries) != nil || slices.Contains(entries, nil) {
		f.fail(name, "must be a list of job ids or null")
		return nil
	}
	var ids []string
	seen := map[string]bool{}
	for _, id := range entries {
		if !seen[*id] {
			seen[*id] = true
			ids = append(ids, *id)
		}
	}
	return ids
}

// taskCount decodes a number of tasks.
func (f *fields) taskCount(name string) int {
	count := f.requiredAmount(name)
	if count != math.Trunc(count) || count < 1 || count > MaxTasks {
		f.fail(name, fmt.Sprintf("must be a whole number from 1 to %d", MaxTasks))
	}
	return int(count)
}

// machineTypes decodes the list of allowed machine types. It returns nil for an absent field, which allows any type.
func (f *fields) machineTypes(name string) []string {
	raw, ok := f.get(name)
	if !ok {
		return nil
	}
	var entries []*string
	if json.Unmarshal(raw, &entries) != nil {
		f.fail(name, "must be a list of names or null")
	}
	if len(entries) > maxMachineTypes {
		f.fail(name, fmt.Sprintf("must have at most %d names", maxMachineTypes))
	}
	if len(entries) == 0 {
		f.fail(name, "must name a machine type or be null")
	}
	types := make([]string, 0, len(entries))
	for _, t := range entries {
		if t == nil || *t == "" || len(*t) > maxNameBytes {
			f.fail(name, "must be a list of names or null")
			break
		}
		types = append(types, *t)
	}
	return types
}

// requiredAmount decodes an amount that must be present.
func (f *fields) requiredAmount(name string) float64 {
	if amount := f.amount(name, true); amount != nil {
		return *amount
	}
	return 0
}

// flag decodes a boolean that must be present.
func (f *fields) flag(name string) bool {
	raw, ok := f.get(name)
	if !ok {
		f.fail(name, "is missing")
		return false
	}
	var flag bool
	if json.Unmarshal(raw, &flag) != nil {
		f.fail(name, "must be true or false")
	}
	return flag
}

// ParseJob decodes and validates a submission. Field names are case-sensitive, unlike when decoding into a struct with
// encoding/json. A wrong type in any field is an error.
func ParseJob(body []byte) (*Job, error) {
	if len(body) > MaxBodyBytes {
		return nil, errors.New("body: is too large")
	}
	f := &fields{}
	if trimmed := bytes.TrimSpace(body); len(trimmed) == 0 || trimmed[0] != '{' {
		return nil, errors.New("body: must be a JSON object")
	}
	if err := json.Unmarshal(body, &f.raw); err != nil {
		return nil, errors.New("body: must be a JSON object")
	}
	job := &Job{
		ID:                  f.text(fieldID, true),
		Class:               f.text(fieldClass, true),
		Team:                f.text(fieldTeam, true),
		Kind:                JobKind(f.text(fieldKind, true)),
		Priority:            Priority(f.text(fieldPriority, true)),
		CPUs:                f.requiredAmount(fieldCPUs),
		GPUs:                f.requiredAmount(fieldGPUs),
		MemoryGB:            f.requiredAmount(fieldMemoryGB),
		Image:               f.text(fieldImage, true),
		ImageGB:             f.requiredAmount(fieldImageGB),
		Zone:                f.text(fieldZone, false),
		SingleZone:          f.flag(fieldSingleZone),
		SpreadZones:         f.flag(fieldSpreadZones),
		Spot:                f.flag(fieldSpot),
		EstimatedRunS:       f.requiredAmount(fieldEstimatedRunS),
		CheckpointIntervalS: f.requiredAmount(fieldCheckpointIntervalS),
		CheckpointTimeS:     f.requiredAmount(fieldCheckpointTimeS),
		DeadlineS:           f.amount(fieldDeadlineS, false),
		Dependencies:        f.ids(FieldDependencies),
		Tasks:               f.taskCount(fieldTasks),
		MachineTypes:        f.machineTypes(fieldMachineTypes),
	}
	if f.err != nil {
		return nil, f.err
	}
	return job, job.checkValues()
}

// checkValues validates the job ID, the kind and the priority.
func (j *Job) checkValues() error {
	switch {
	case !ValidJobID(j.ID):
		return fmt.Errorf("%s: is not a job id", fieldID)
	case j.Kind != KindArray && j.Kind != KindService:
		return fmt.Errorf("%s: is unknown", fieldKind)
	}
	if _, ok := ranks[j.Priority]; !ok {
		return fmt.Errorf("%s: is unknown", fieldPriority)
	}
	return nil
}
