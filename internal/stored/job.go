package stored

import (
	"encoding/json"
	"errors"

	"bitternwing/internal/wire"
)

// Job is an active job: one that has not ended, or a cancelled one whose tasks may still be on machines.
type Job struct {
	Spec        *wire.Job `json:"job"`
	AcceptedMS  int64     `json:"at"`          // Unix time in milliseconds
	CancelledMS int64     `json:"x,omitempty"` // Unix time in milliseconds; 0 if the job is not cancelled
}

// errNoSpec is returned for a stored job without a specification.
var errNoSpec = errors.New("stored job has no specification")

// DecodeJob decodes a stored job.
func DecodeJob(value json.RawMessage) (Job, error) {
	job, err := decode[Job](value)
	if err == nil && job.Spec == nil {
		return Job{}, errNoSpec
	}
	return job, err
}

// Encode returns the stored form of a job.
func (j Job) Encode() (json.RawMessage, error) { return json.Marshal(j) }

// EncodeWithin returns the stored form of a job for a rewrite. A cancellation rewrites the whole value, which may be
// larger than maxBytes if the limit was higher when the job was accepted. In that case EncodeWithin omits the fields
// that only determine where the job may start, since a cancelled job never starts again.
func (j Job) EncodeWithin(maxBytes int) (json.RawMessage, error) {
	value, err := j.Encode()
	if err != nil || len(value) <= maxBytes || j.CancelledMS == 0 {
		return value, err
	}
	reduced := *j.Spec
	reduced.Class, reduced.Image, reduced.Zone, reduced.MachineTypes, reduced.Dependencies = "", "", "", nil, nil
	j.Spec = &reduced
	return j.Encode()
}

// FinalState is how a job ended. It never changes.
type FinalState struct {
	State wire.JobStatus `json:"s"`
	Done  int            `json:"n"`
	// EndedMS is the Unix time in milliseconds at which the job ended. It is 0 in final states written by versions
	// without dependencies.
	EndedMS int64 `json:"at,omitempty"`
}

// DecodeFinalState decodes a stored final state.
func DecodeFinalState(value json.RawMessage) (FinalState, error) { return decode[FinalState](value) }

// Encode returns the stored form of a final state.
func (f FinalState) Encode() (json.RawMessage, error) { return json.Marshal(f) }

// decode decodes a stored value. It returns the zero value with any error.
func decode[T any](value json.RawMessage) (T, error) {
	var v, none T
	if err := json.Unmarshal(value, &v); err != nil {
		return none, err
	}
	return v, nil
}
