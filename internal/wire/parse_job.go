package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
)

// FieldDependencies is the protocol's name of a job's dependencies, for messages to users.
const FieldDependencies = "awaits"

// The protocol's names of a job's other fields, as in the tags of Job: errors to users name them.
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

// maxAmount bounds all amounts.
const maxAmount = 1e9

// fields are the undecoded fields of a submission, and the first error among those that were decoded.
type fields struct {
	raw map[string]json.RawMessage
	err error
}

// get returns a field; null counts as absent.
func (f *fields) get(name string) (json.RawMessage, bool) {
	raw, ok := f.raw[name]
	if !ok || string(raw) == "null" {
		return nil, false
	}
	return raw, true
}

// fail keeps the first error.
func (f *fields) fail(name, problem string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: %s", name, problem)
	}
}

// text decodes a string.
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
	if text == "" || len(text) > maxName {
		f.fail(name, fmt.Sprintf("must have 1 to %d bytes", maxName))
	}
	return text
}

// amount decodes a number that is not negative.
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

// ids decodes a list of job ids without repeats. What is no job id stays in it: such a job was never
// accepted, which is not for the form of the message to say. An empty list counts as absent.
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

// machineTypes decodes the allowed machine types; nil for any.
func (f *fields) machineTypes(name string) []string {
	raw, ok := f.get(name)
	if !ok {
		return nil
	}
	var entries []*string
	if json.Unmarshal(raw, &entries) != nil {
		f.fail(name, "must be a list of names or null")
	}
	if len(entries) > maxTypes {
		f.fail(name, fmt.Sprintf("must have at most %d names", maxTypes))
	}
	if len(entries) == 0 {
		f.fail(name, "must name a machine type or be null")
	}
	types := make([]string, 0, len(entries))
	for _, t := range entries {
		if t == nil || *t == "" || len(*t) > maxName {
			f.fail(name, "must be a list of names or null")
			break
		}
		types = append(types, *t)
	}
	return types
}

// requiredAmount decodes an amount that may not be absent.
func (f *fields) requiredAmount(name string) float64 {
	if amount := f.amount(name, true); amount != nil {
		return *amount
	}
	return 0
}

// flag decodes a flag, which may not be absent.
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

// ParseJob decodes and checks a submission. Names are matched to the letter and a
// wrong type in any field is an error, which a plain decode into a struct would
// not give (it folds case).
func ParseJob(body []byte) (*Job, error) {
	if len(body) > MaxBody {
		return nil, errors.New("body: is too large")
	}
	f := &fields{}
	if trimmed := bytes.TrimSpace(body); len(trimmed) == 0 || trimmed[0] != '{' {
		return nil, errors.New("body: must be a JSON object")
	}
	if err := json.Unmarshal(body, &f.raw); err != nil {
		return nil, errors.New("body: must be a JSON object")
	}
	j := &Job{
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
	return j, j.checkValues()
}

// checkValues checks the fields that have a few values or a form of their own.
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
