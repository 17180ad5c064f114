package stored

import (
	"encoding/json"
	"errors"

	"bitternwing/internal/wire"
)

// Job is an active job: one that is not done, or cancelled with tasks that may be left on machines.
type Job struct {
	Spec        *wire.Job `json:"job"`
	AcceptedMS  int64     `json:"at"`
	CancelledMS int64     `json:"x,omitempty"`
}

// errNoSpec says that a stored job has no specification.
var errNoSpec = errors.New("stored job has no specification")

// DecodeJob reads a stored job.
func DecodeJob(value json.RawMessage) (Job, error) {
	job, err := decode[Job](value)
	if err == nil && job.Spec == nil {
		return Job{}, errNoSpec
	}
	return job, err
}

// Encode returns the stored form of a job.
func (j Job) Encode() (json.RawMessage, error) { return json.Marshal(j) }

// EncodeWithin returns the stored form of a job for a rewrite. A cancellation rewrites the whole of it, and the value
// that was accepted may be larger than the store's present limit: then the fields that only tell where the job may
// start are left out, since it never starts again.
func (j Job) EncodeWithin(maxBytes int) (json.RawMessage, error) {
	value, err := j.Encode()
	if err != nil || len(value) <= maxBytes || j.CancelledMS == 0 {
		return value, err
	}
	short := *j.Spec
	short.Class, short.Image, short.Zone, short.MachineTypes, short.Dependencies = "", "", "", nil, nil
	j.Spec = &short
	return j.Encode()
}

// FinalState is how a job ended. It never changes.
type FinalState struct {
	State wire.JobStatus `json:"s"`
	Done  int            `json:"n"`
	// EndedMS is the time of day of the end; 0 in final states of versions without dependencies.
	EndedMS int64 `json:"at,omitempty"`
}

// DecodeFinalState reads a stored final state.
func DecodeFinalState(value json.RawMessage) (FinalState, error) { return decode[FinalState](value) }

// Encode returns the stored form of a final state.
func (f FinalState) Encode() (json.RawMessage, error) { return json.Marshal(f) }

// decode reads a stored value; the zero value comes with an error.
func decode[T any](value json.RawMessage) (T, error) {
	var v, none T
	if err := json.Unmarshal(value, &v); err != nil {
		return none, err
	}
	return v, nil
}
