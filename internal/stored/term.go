package stored

import (
	"encoding/json"

	"bitternwing/internal/record"
)

// Leader is the node that leads. Its key is attached to the node's lease and goes with it.
type Leader struct {
	Node        string `json:"node"`
	Incarnation string `json:"inc"`
	Lease       uint64 `json:"lease"`
	Term        uint64 `json:"term"`
}

// DecodeLeader reads a stored leader.
func DecodeLeader(value json.RawMessage) (Leader, error) { return decode[Leader](value) }

// Encode returns the stored form of a leader.
func (l Leader) Encode() (json.RawMessage, error) { return json.Marshal(l) }

// Term is the present term and the node that was elected for it. All writes of a leader are conditional on the
// version of its key.
type Term struct {
	Number uint64 `json:"term"`
	Node   string `json:"node"`
}

// TermFormat is a form of the stored term. A node that can't read the term can't win an election, so a form keeps
// versions from leading that would misread what else is stored. Each form is read by fewer versions than the one
// before it, and later terms keep it.
type TermFormat int

const (
	// BaseTermFormat is read by all versions, or once the second layout of run records is in use by those that
	// know that layout.
	BaseTermFormat TermFormat = iota
	// RolloutsTermFormat is read by versions that know rollout plans. Others would start the jobs that plans hold.
	RolloutsTermFormat
	// QuotasTermFormat is read by versions that know quota accounts. Others would grant teams the limits of all
	// regions.
	QuotasTermFormat
)

// String names what a version has to know to read a form.
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

// The forms of the term beside Term itself, which is the first of them. Each is unreadable as any other.
type (
	// layoutFencedTerm is a BaseTermFormat once the second layout of run records is in use. Version 1, which would
	// delete records of that layout as orphans, can't read it.
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

// Encode returns the stored form of a term. The layout matters for BaseTermFormat only.
func (t Term) Encode(format TermFormat, layout record.Layout) (json.RawMessage, error) {
	switch {
	case format == QuotasTermFormat:
		return json.Marshal(quotasTerm{Number: [1][1]uint64{{t.Number}}, Node: t.Node})
	case format == RolloutsTermFormat:
		return json.Marshal(rolloutsTerm{Number: [1]uint64{t.Number}, Node: t.Node})
	case layout.ByTask > 0:
		return json.Marshal(layoutFencedTerm(t))
	}
	return json.Marshal(t)
}

// DecodeTerm reads a stored term in any form, and returns the format that it is in.
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
