package core_test

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"hash"
	"math/rand/v2"
	"os"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"bitternwing/internal/core"
)

// The digests of seeded days and where they are kept. They were made by the code before it was renamed and split:
// a change of structure leaves each of them as it is. A change of behaviour makes the file anew with -digests.
const (
	digestFile = "testdata/digests.txt"
	// digestDays is how many days are played where -digest_days does not say.
	digestDays = 24
)

var (
	writeDigests = flag.Bool("digests", false, "write testdata/digests.txt anew, with all days in it")
	daysToDigest = flag.Int("digest_days", digestDays, "how many of the days in testdata/digests.txt are played")
)

// outputDigest sums up all that leaves the cores of a day in wire or stored form, in order, with when and from which node.
// Log lines and names of Go types and fields are not in it, and neither are the numbers by which results find their calls.
type outputDigest struct{ sum hash.Hash }

func newOutputDigest() *outputDigest { return &outputDigest{sum: sha256.New()} }

// add takes in an effect of a node.
func (d *outputDigest) add(t reporter, now time.Duration, node string, effect core.Effect) {
	t.Helper()
	if content, ok := wireContent(t, effect); ok {
		encoded, err := json.Marshal(content)
		if err != nil {
			t.Fatalf("an effect can't be digested: %v", err)
		}
		d.sum.Write(fmt.Appendf(nil, "%d %s %s\n", now, node, encoded))
	}
}

func (d *outputDigest) String() string { return hex.EncodeToString(d.sum.Sum(nil)[:16]) }

// wireContent gives what of an effect is sent or stored, by position; false for what only this process sees.
func wireContent(t reporter, effect core.Effect) ([]any, bool) {
	t.Helper()
	switch e := effect.(type) {
	case core.Log:
		return nil, false
	case core.Response:
		return []any{"answer", e.Status, e.RetryAfterS, bodyContent(t, e.Body)}, true
	case core.CloudCatalog:
		return []any{"cloud catalog"}, true
	case core.CloudScaleOut:
		return []any{"cloud rent", e.Request}, true
	case core.CloudScaleIn:
		return []any{"cloud release", e.Names}, true
	case core.CloudList:
		return []any{"cloud list", e.After}, true
	case core.SendCommands:
		return []any{"worker orders", e.Addr, e.FencingToken, e.Incarnation, e.Commands}, true
	case core.QueryWorker:
		return []any{"worker inspect", e.Addr}, true
	case core.PrefetchImage:
		return []any{"prefetch", e.Addr, e.Image, e.GB}, true
	case core.ProbeReplica:
		return []any{"probe", e.Probe.Replica.Task, e.Probe.Replica.Attempt, e.Probe.Replica.Address, len(e.Checks), e.Timeout}, true
	case core.QueryPeer:
		content := []any{"peer", e.Node}
		for _, c := range e.Cancellations {
			content = append(content, c.Job, c.Value, c.Version)
		}
		return content, true
	case core.CallRegion:
		return []any{"region", e.Region, e.Attempt, e.Request != nil, e.Deliver != nil}, true
	}
	return storeContent(t, effect), true
}

// bodyContent gives the body of an answer: as it is for the protocol's messages, and without the names of fields for what
// another package turns into a message.
func bodyContent(t reporter, body any) any {
	t.Helper()
	if body == nil || strings.HasSuffix(reflect.TypeOf(body).PkgPath(), "/wire") {
		return body
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		t.Fatalf("a body can't be digested: %v", err)
	}
	return fieldNames.ReplaceAllString(string(encoded), "")
}

// fieldNames finds the names of exported fields in JSON.
var fieldNames = regexp.MustCompile(`"[A-Z][A-Za-z]*":`)

// storeContent gives what is sent to the state service.
func storeContent(t reporter, effect core.Effect) []any {
	t.Helper()
	switch e := effect.(type) {
	case core.StoreGet:
		return []any{"state get", e.Key}
	case core.StoreList:
		return []any{"state list", e.Prefix, e.After}
	case core.StoreTxn:
		return []any{"state txn", e.Txn}
	case core.StoreGrantLease:
		return []any{"state grant", e.TTL}
	case core.StoreRenewLease:
		return []any{"state extend", e.Lease}
	case core.StoreRevokeLease:
		return []any{"state revoke", e.Lease}
	case core.StoreWatch:
		return []any{"state watch", e.Prefix, e.After, e.Wait}
	}
	t.Fatalf("an effect %T is not digested", effect)
	return nil
}

// digestOfDay plays a day of TestSearch.
func digestOfDay(t *testing.T, seed uint64) string {
	t.Helper()
	s, _ := playDay(t, randomDay(seed))
	return s.digest.String()
}

// digestOfRegions plays a day of three regions with random troubles, as TestRandomRegionFaults does.
func digestOfRegions(t *testing.T, seed uint64) string {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 6))
	world := newRegionSimulation(t, 3)
	for range 2 + random.IntN(9) {
		world.advance(time.Duration(1+random.IntN(40)) * 100 * time.Millisecond)
		world.injectFault(random)
	}
	world.heal()
	world.advance(5 * time.Second)
	var digests []string
	for _, region := range world.regions {
		digests = append(digests, region.digest.String())
	}
	return strings.Join(digests, ",")
}

// digestOfRollout plays a rollout in which something goes wrong.
func digestOfRollout(t *testing.T, seed uint64) string {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 7))
	world := newRolloutCluster(t)
	world.start()
	for range 1 + random.IntN(6) {
		world.advance(time.Duration(1+random.IntN(60)) * 100 * time.Millisecond)
		switch random.IntN(5) {
		case 0:
			world.restartLeaderIfAny()
		case 1:
			world.lostResponses = 2
		case 2:
			world.transactionsToDelay = 2
		case 3:
			world.storeDown = !world.storeDown
		default:
			world.routers[0].isolated = !world.routers[0].isolated
		}
	}
	world.heal()
	world.commitDelayed(world.store)
	world.advance(20 * time.Second)
	return world.digest.String()
}

// digestKinds are the kinds of seeded days.
var digestKinds = map[string]func(*testing.T, uint64) string{
	"day": digestOfDay, "regions": digestOfRegions, "rollout": digestOfRollout,
}

// TestOutputStaysTheSame plays seeded days and compares all that left the nodes with what left them before the last
// change of behaviour.
func TestOutputStaysTheSame(t *testing.T) {
	kept, order := readDigests(t)
	if *writeDigests {
		writeAllDigests(t, order)
		return
	}
	played := map[string]int{}
	for _, name := range order {
		kind, seedText, _ := strings.Cut(name, " ")
		if played[kind]++; played[kind] > *daysToDigest {
			continue
		}
		seed, err := strconv.ParseUint(seedText, 10, 64)
		if err != nil {
			t.Fatalf("%s: %q: %v", digestFile, name, err)
		}
		t.Run(strings.ReplaceAll(name, " ", "/"), func(t *testing.T) {
			t.Parallel()
			if got := digestKinds[kind](t, seed); got != kept[name] {
				t.Errorf("what left the nodes has the digest %s, before it had %s", got, kept[name])
			}
		})
	}
	if len(played) != len(digestKinds) {
		t.Errorf("%s has days of %d kinds, of %d", digestFile, len(played), len(digestKinds))
	}
}

// readDigests gives the kept digests by kind and seed, and the order in which they stand in the file.
func readDigests(t *testing.T) (map[string]string, []string) {
	t.Helper()
	file, err := os.Open(digestFile)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := file.Close(); err != nil {
			t.Error(err)
		}
	}()
	kept, order := map[string]string{}, []string(nil)
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) != 3 || digestKinds[fields[0]] == nil {
			t.Fatalf("%s: %q", digestFile, lines.Text())
		}
		name := fields[0] + " " + fields[1]
		kept[name] = fields[2]
		order = append(order, name)
	}
	if err := lines.Err(); err != nil {
		t.Fatal(err)
	}
	return kept, order
}

// writeAllDigests plays all days that the file names and writes what comes of them.
func writeAllDigests(t *testing.T, order []string) {
	t.Helper()
	digests := make([]string, len(order))
	t.Run("days", func(t *testing.T) {
		for i, name := range order {
			kind, seedText, _ := strings.Cut(name, " ")
			seed, err := strconv.ParseUint(seedText, 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				digests[i] = name + " " + digestKinds[kind](t, seed)
			})
		}
	})
	if err := os.WriteFile(digestFile, []byte(strings.Join(digests, "\n")+"\n"), 0o644); err != nil {
		t.Fatal(err)
	}
}
