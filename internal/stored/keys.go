package stored

import (
	"net/url"
	"strconv"
	"strings"

	"bitternwing/internal/record"
)

// WatchedPrefix is the prefix of the keys that each node follows with one watch. Final states and run records
// lie elsewhere: they are read when they are needed.
const WatchedPrefix = "w/"

// RunRecordPrefix is the prefix of the run records.
const RunRecordPrefix = "r/"

// The keys of single values.
const (
	LeaderKey       = "w/lead"    // the Leader, attached to its lease
	TermKey         = "w/term"    // the Term, incremented with each election
	CatalogKey      = "w/catalog" // the machine types that the cloud offers
	RecordLayoutKey = "w/layout"  // the record.Layout in use; absent for the first one

	// unreachableHintKey is the first shard of the unreachable hints, the only one that older versions read.
	unreachableHintKey = "w/s"
)

// The prefixes of the keys of many values.
const (
	activeJobPrefix         = "w/a/"
	taskCountPrefix         = "w/n/"
	planPrefix              = "w/p/"
	quotaAccountPrefix      = "w/q/"
	imageHintPrefix         = "w/i/"
	unreachableHintPrefix   = unreachableHintKey + "/"
	relayedHeartbeatsPrefix = "w/k/"
	finalStatePrefix        = "f/"
)

// JobKey is the key of a Job. It exists until the job's FinalState is written.
func JobKey(id string) string { return activeJobPrefix + id }

// FinalStateKey is the key of a job's FinalState. It is never deleted.
func FinalStateKey(id string) string { return finalStatePrefix + id }

// RunRecordKey is the key of a run record.
func RunRecordKey(key record.Key) string { return RunRecordPrefix + key.String() }

// ParseRunRecordKey reads the key of a run record; false if it is none.
func ParseRunRecordKey(key string) (record.Key, bool) {
	return record.ParseKey(strings.TrimPrefix(key, RunRecordPrefix))
}

// PlanKey is the key of a rollout plan's record.
func PlanKey(name string) string { return planPrefix + name }

// QuotaAccountKey is the key of a team's quota account. Names of teams may have characters that keys may not.
func QuotaAccountKey(team string) string { return quotaAccountPrefix + url.PathEscape(team) }

// TaskCountKey is the key of a shard of the task counts.
func TaskCountKey(shard int) string { return taskCountPrefix + strconv.Itoa(shard) }

// ImageHintKey is the key of a shard of the image hints.
func ImageHintKey(shard int) string { return imageHintPrefix + strconv.Itoa(shard) }

// UnreachableHintKey is the key of a shard of the unreachable hints.
func UnreachableHintKey(shard int) string {
	if shard == 0 {
		return unreachableHintKey
	}
	return unreachableHintPrefix + strconv.Itoa(shard)
}

// RelayedHeartbeatsKey is the key of a shard of the heartbeats that a node relays.
func RelayedHeartbeatsKey(node string, shard int) string {
	return relayedHeartbeatsPrefix + node + "/" + strconv.Itoa(shard)
}

// Kind is what the value of a watched key is.
type Kind int

// The kinds of watched keys.
const (
	KindUnknown Kind = iota // of a later version
	KindJob
	KindLeader
	KindTerm
	KindCatalog
	KindRecordLayout
	KindPlan
	KindQuotaAccount
	KindTaskCounts
	KindImageHints
	KindUnreachableHints
	KindRelayedHeartbeats
)

// kindsByPrefix are the kinds of keys that have a prefix in common.
var kindsByPrefix = []struct {
	prefix string
	kind   Kind
}{
	{activeJobPrefix, KindJob},
	{taskCountPrefix, KindTaskCounts},
	{planPrefix, KindPlan},
	{quotaAccountPrefix, KindQuotaAccount},
	{imageHintPrefix, KindImageHints},
	{unreachableHintPrefix, KindUnreachableHints},
	{relayedHeartbeatsPrefix, KindRelayedHeartbeats},
}

// ParseWatchedKey returns the kind of a watched key and what follows its prefix: a job's id, a plan's name, or the
// node and shard of relayed heartbeats. A key of a single value has nothing after it.
func ParseWatchedKey(key string) (kind Kind, name string) {
	switch key {
	case LeaderKey:
		return KindLeader, ""
	case TermKey:
		return KindTerm, ""
	case CatalogKey:
		return KindCatalog, ""
	case RecordLayoutKey:
		return KindRecordLayout, ""
	case unreachableHintKey:
		return KindUnreachableHints, ""
	}
	for _, k := range kindsByPrefix {
		if name, found := strings.CutPrefix(key, k.prefix); found && name != "" {
			return k.kind, name
		}
	}
	return KindUnknown, ""
}

// RelayingNode returns the node that wrote relayed heartbeats, from the name that ParseWatchedKey gives.
func RelayingNode(name string) string {
	node, _, _ := strings.Cut(name, "/")
	return node
}
