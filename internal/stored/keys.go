package stored

import (
	"net/url"
	"strconv"
	"strings"

	"bitternwing/internal/record"
)

// WatchedPrefix is the prefix of the keys that each node follows with a single watch. Final states and run records have
// other prefixes, because they are read on demand.
const WatchedPrefix = "w/"

// RunRecordPrefix is the prefix of the keys of run records.
const RunRecordPrefix = "r/"

// Keys of single values.
const (
	LeaderKey       = "w/lead"    // the Leader; attached to the leader's lease
	TermKey         = "w/term"    // the Term; incremented with each election
	CatalogKey      = "w/catalog" // the machine types that the cloud offers
	RecordLayoutKey = "w/layout"  // the record.Layout in use; absent for the index layout

	// unreachableHintKey is the first shard of the unreachable hints. Older versions read only this shard.
	unreachableHintKey = "w/s"
)

// Prefixes of keys with many values.
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

// JobKey returns the key of a Job. The key exists until the job's FinalState is written.
func JobKey(id string) string { return activeJobPrefix + id }

// FinalStateKey returns the key of a job's FinalState. The key is never deleted.
func FinalStateKey(id string) string { return finalStatePrefix + id }

// RunRecordKey returns the key of a run record.
func RunRecordKey(key record.Key) string { return RunRecordPrefix + key.String() }

// ParseRunRecordKey parses the key of a run record. It returns false if the key is not one.
func ParseRunRecordKey(key string) (record.Key, bool) {
	return record.ParseKey(strings.TrimPrefix(key, RunRecordPrefix))
}

// PlanKey returns the key of a rollout plan's record.
func PlanKey(name string) string { return planPrefix + name }

// QuotaAccountKey returns the key of a team's quota account. The name is escaped because it may contain characters that
// are not allowed in keys.
func QuotaAccountKey(team string) string { return quotaAccountPrefix + url.PathEscape(team) }

// TaskCountKey returns the key of a shard of the task counts.
func TaskCountKey(shard int) string { return taskCountPrefix + strconv.Itoa(shard) }

// ImageHintKey returns the key of a shard of the image hints.
func ImageHintKey(shard int) string { return imageHintPrefix + strconv.Itoa(shard) }

// UnreachableHintKey returns the key of a shard of the unreachable hints.
func UnreachableHintKey(shard int) string {
	if shard == 0 {
		return unreachableHintKey
	}
	return unreachableHintPrefix + strconv.Itoa(shard)
}

// RelayedHeartbeatsKey returns the key of a shard of the heartbeats that a node relays.
func RelayedHeartbeatsKey(node string, shard int) string {
	return relayedHeartbeatsPrefix + node + "/" + strconv.Itoa(shard)
}

// Kind is the type of the value of a watched key.
type Kind int

// Kinds of watched keys.
const (
	KindUnknown Kind = iota // written by a later version
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

// kindsByPrefix maps key prefixes to the kinds of their values.
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

// ParseWatchedKey returns the kind of a watched key and the part after its prefix: a job's ID, a plan's name, or the
// node and shard of relayed heartbeats. The part is empty for a key of a single value.
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

// RelayingNode returns the node that wrote relayed heartbeats. Its argument is the name returned by ParseWatchedKey.
func RelayingNode(name string) string {
	node, _, _ := strings.Cut(name, "/")
	return node
}
