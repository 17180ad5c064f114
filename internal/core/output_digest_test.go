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

// Digests of the output of seeded simulations. A refactoring must not change them. After an intended
// change of behaviour, regenerate the file with -digests.
const (
	digestFile = "testdata/digests.txt"
	// defaultDigestSeeds is the default of -digest_days.
	defaultDigestSeeds = 24
)

var (
	writeDigests = flag.Bool("digests", false, "regenerate testdata/digests.txt for all simulations in it")
	digestSeeds  = flag.Int("digest_days", defaultDigestSeeds, "how many simulations of each kind in testdata/digests.txt are run")
)

// outputDigest is a hash of everything that the cores of a simulation send or store, in order, with its time and node.
// It excludes log lines, names of Go types and fields, and call IDs.
type outputDigest struct{ hash hash.Hash }

func newOutputDigest() *outputDigest { return &outputDigest{hash: sha256.New()} }

// add adds an effect of a node to the digest.
func (d *outputDigest) add(t testReporter, now time.Duration, node string, effect core.Effect) {
	t.Helper()
	if content, ok := wireContent(t, effect); ok {
		encoded, err := json.Marshal(content)
		if err != nil {
			t.Fatalf("encoding effect for the digest: %v", err)
		}
		d.hash.Write(fmt.Appendf(nil, "%d %s %s\n", now, node, encoded))
	}
}

func (d *outputDigest) String() string { return hex.EncodeToString(d.hash.Sum(nil)[:16]) }

// wireContent returns the parts of an effect that are sent or stored; false for an effect that stays in the process.
// The stored digests depend on the labels here and in storeContent, so these must not change.
func wireContent(t testReporter, effect core.Effect) ([]any, bool) {
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

// bodyContent returns the body of a response. Protocol messages are returned as they are. Other bodies, which another
// package converts to messages, are returned without their Go field names.
func bodyContent(t testReporter, body any) any {
	t.Helper()
	if body == nil || strings.HasSuffix(reflect.TypeOf(body).PkgPath(), "/wire") {
		return body
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		t.Fatalf("encoding response body for the digest: %v", err)
	}
	return fieldNames.ReplaceAllString(string(encoded), "")
}

// fieldNames matches the names of exported Go fields in JSON.
var fieldNames = regexp.MustCompile(`"[A-Z][A-Za-z]*":`)

// storeContent returns the parts of an effect that are sent to the key-value store.
func storeContent(t testReporter, effect core.Effect) []any {
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
	t.Fatalf("effect %T is not supported by the digest", effect)
	return nil
}

// digestScript returns the digest of a script of TestSearch.
func digestScript(t *testing.T, seed uint64) string {
	t.Helper()
	s, _ := runScript(t, generateScript(seed))
	return s.digest.String()
}

// digestRegions returns the digests of three regions with random faults like those in quota_test.go.
func digestRegions(t *testing.T, seed uint64) string {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 6))
	sim := newRegionSimulation(t, 3)
	for range 2 + random.IntN(9) {
		sim.advance(time.Duration(1+random.IntN(40)) * 100 * time.Millisecond)
		sim.injectFault(random)
	}
	sim.heal()
	sim.advance(5 * time.Second)
	var digests []string
	for _, region := range sim.regions {
		digests = append(digests, region.digest.String())
	}
	return strings.Join(digests, ",")
}

// digestRollout returns the digest of a rollout with random faults.
func digestRollout(t *testing.T, seed uint64) string {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 7))
	cluster := newRolloutCluster(t)
	cluster.start()
	for range 1 + random.IntN(6) {
		cluster.advance(time.Duration(1+random.IntN(60)) * 100 * time.Millisecond)
		switch random.IntN(5) {
		case 0:
			cluster.restartLeaderIfAny()
		case 1:
			cluster.lostResponses = 2
		case 2:
			cluster.transactionsToDelay = 2
		case 3:
			cluster.storeDown = !cluster.storeDown
		default:
			cluster.routers[0].isolated = !cluster.routers[0].isolated
		}
	}
	cluster.heal()
	cluster.commitDelayed(cluster.store)
	cluster.advance(20 * time.Second)
	return cluster.digest.String()
}

// digestKinds are the kinds of simulations in digestFile.
var digestKinds = map[string]func(*testing.T, uint64) string{
	"day": digestScript, "regions": digestRegions, "rollout": digestRollout,
}

// TestOutputStaysTheSame runs seeded simulations and compares the output of the nodes with that after the last intended
// change of behaviour.
func TestOutputStaysTheSame(t *testing.T) {
	want, order := readDigests(t)
	if *writeDigests {
		writeAllDigests(t, order)
		return
	}
	runs := map[string]int{}
	for _, name := range order {
		kind, seedText, _ := strings.Cut(name, " ")
		if runs[kind]++; runs[kind] > *digestSeeds {
			continue
		}
		seed, err := strconv.ParseUint(seedText, 10, 64)
		if err != nil {
			t.Fatalf("%s: %q: %v", digestFile, name, err)
		}
		t.Run(strings.ReplaceAll(name, " ", "/"), func(t *testing.T) {
			t.Parallel()
			if got := digestKinds[kind](t, seed); got != want[name] {
				t.Errorf("got output digest %s, want %s", got, want[name])
			}
		})
	}
	if len(runs) != len(digestKinds) {
		t.Errorf("%s: got %d kinds of simulations, want %d", digestFile, len(runs), len(digestKinds))
	}
}

// readDigests returns the stored digests by kind and seed, and these keys in the order of the file.
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
	digests, order := map[string]string{}, []string(nil)
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) != 3 || digestKinds[fields[0]] == nil {
			t.Fatalf("%s: invalid line %q", digestFile, lines.Text())
		}
		name := fields[0] + " " + fields[1]
		digests[name] = fields[2]
		order = append(order, name)
	}
	if err := lines.Err(); err != nil {
		t.Fatal(err)
	}
	return digests, order
}

// writeAllDigests runs all simulations that the file lists and rewrites it with their digests.
func writeAllDigests(t *testing.T, order []string) {
	t.Helper()
	digests := make([]string, len(order))
	t.Run("simulations", func(t *testing.T) {
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
