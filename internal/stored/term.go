package stored

import (
	"encoding/json"

	"bitternwing/internal/record"
)

// Leader is the node that leads. Its key is attached to the node's lease and is deleted when the lease ends.
type Leader struct {
	Node        string `json:"node"`
	Incarnation string `json:"inc"`
	Lease       uint64 `json:"lease"`
	Term        uint64 `json:"term"`
}

// DecodeLeader decodes a stored leader.
func DecodeLeader(value json.RawMessage) (Leader, error) { return decode[Leader](value) }

// Encode returns the stored form of a leader.
func (l Leader) Encode() (json.RawMessage, error) { return json.Marshal(l) }

// Term is the current term and the node that won its election. All writes of a leader are conditional on the version of
// its key.
type Term struct {
	Number uint64 `json:"term"`
	Node   string `json:"node"`
}

// TermFormat is an encoding of the stored term. A node that can't decode the term can't win an election, so a new
// format prevents versions from leading that would misinterpret other stored state. Each format can be read by fewer
// versions than the one before it, and later terms never return to an earlier format.
type TermFormat int

const (
	// BaseTermFormat can be read by all versions or, once the task layout of run records is in use, by those that
	// support that layout.
	BaseTermFormat TermFormat = iota
	// RolloutsTermFormat can be read by versions that support rollout plans. Other versions would start jobs that plans
	// hold back.
	RolloutsTermFormat
	// QuotasTermFormat can be read by versions that support quota accounts. Other versions would grant teams the limits
	// of all regions.
	QuotasTermFormat
)

// String names the feature that a version must support to read the format.
func (f TermFormat) String() string {
	switch f {
	case BaseTermFormat:
	case RolloutsTermFormat:
		return "rollout plans"
	case QuotasTermFormat:
		return "limits across regions"
	}
	return "run records"
}

// The encodings of the term other than Term itself, which is the first one. A value in one encoding can't be decoded as
// any other.
type (
	// layoutFencedTerm is the BaseTermFormat once the task layout of run records is in use. Version 1, which would
	// delete records of that layout as orphans, can't decode it.
	layoutFencedTerm struct {
		Number uint64 `json:"term,string"`
		Node   string `json:"node"`
	}
	rolloutsTerm struct {
		Number [1]uint64 `json:"term"`
		Node   string    `json:"node"`
	}
	quotasTerm struct {
		Number [1][1]uint64 `json:"term"`
		Node   string       `json:"node"`
	}
)

// Encode returns the stored form of a term. The layout only affects BaseTermFormat.
func (t Term) Encode(format TermFormat, layout record.Layout) (json.RawMessage, error) {
	switch {
	case format == QuotasTermFormat:
		return json.Marshal(quotasTerm{Number: [1][1]uint64{{t.Number}}, Node: t.Node})
	case format == RolloutsTermFormat:
		return json.Marshal(rolloutsTerm{Number: [1]uint64{t.Number}, Node: t.Node})
	case layout.TaskLayoutTasks > 0:
		return json.Marshal(layoutFencedTerm(t))
	}
	return json.Marshal(t)
}

// DecodeTerm decodes a stored term of any format, and also returns the format.
func DecodeTerm(value json.RawMessage) (Term, TermFormat, error) {
	if t, err := decode[Term](value); err == nil {
		return t, BaseTermFormat, nil
	}
	if t, err := decode[layoutFencedTerm](value); err == nil {
		return Term(t), BaseTermFormat, nil
	}
	if t, err := decode[rolloutsTerm](value); err == nil {
		return Term{Number: t.Number[0], Node: t.Node}, RolloutsTermFormat, nil
	}
	t, err := decode[quotasTerm](value)
	return Term{Number: t.Number[0][0], Node: t.Node}, QuotasTermFormat, err
}
