package contract

import (
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"io/fs"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/reflect/protoreflect"

	"bitternwing/internal/adminapi/operatorpb"
	"bitternwing/internal/config"
	"bitternwing/internal/core"
	"bitternwing/internal/fleetsim"
	"bitternwing/internal/metrics"
	"bitternwing/internal/peer/peerpb"
	"bitternwing/internal/rollout"
)

var update = flag.Bool("update", false, "write the lists in testdata anew")

const repository = "../.."

// TestNames compares the names that others read with the kept lists.
func TestNames(t *testing.T) {
	sources := parseSources(t)
	for name, list := range map[string][]string{
		"fields.txt":  structTags(sources),
		"strings.txt": contractStrings(t, sources),
		"grpc.txt":    append(grpcNames(peerpb.File_internal_peer_peerpb_peer_proto), grpcNames(operatorpb.File_internal_operators_operatorpb_operators_proto)...),
		"metrics.txt": metricNames(t),
	} {
		compare(t, name, strings.Join(list, "\n")+"\n")
	}
	compare(t, "operator.schema.json", string(config.OperatorSchema()))
	compare(t, "plan.schema.json", string(rollout.PlanSchema()))
	compare(t, "scenario.schema.json", string(fleetsim.ScenarioSchema()))
}

// compare compares a list with the kept one.
func compare(t *testing.T, name, got string) {
	t.Helper()
	file := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(string(want), "\n")
	for _, line := range wantLines {
		if !slices.Contains(gotLines, line) {
			t.Errorf("%s: no longer there: %s", name, line)
		}
	}
	for _, line := range gotLines {
		if !slices.Contains(wantLines, line) {
			t.Errorf("%s: new: %s", name, line)
		}
	}
	if !t.Failed() && got != string(want) {
		t.Errorf("%s: in another order or number", name)
	}
}

// parseSources reads all Go files but tests and generated ones.
func parseSources(t *testing.T) []*ast.File {
	t.Helper()
	var sources []*ast.File
	files := token.NewFileSet()
	for _, part := range []string{"internal", "cmd"} {
		err := filepath.WalkDir(filepath.Join(repository, part), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.HasSuffix(path, ".pb.go") {
				return err
			}
			file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
			sources = append(sources, file)
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return sources
}

// fieldTag finds the tags by which fields are named outside of Go; and in Go, flags and arguments of commands.
var fieldTag = regexp.MustCompile(`\b(json|toml|cmd|arg|name|env|default|enum|placeholder):"`)

// helpText finds texts for people, which are no contract.
var helpText = regexp.MustCompile(` ?help:"[^"]*"`)

// structTags gives the tags of each struct with any, in the order of its fields. The same ones stand once.
func structTags(sources []*ast.File) []string {
	found := map[string]bool{}
	for _, file := range sources {
		ast.Inspect(file, func(node ast.Node) bool {
			structure, ok := node.(*ast.StructType)
			if !ok {
				return true
			}
			var tags []string
			for _, field := range structure.Fields.List {
				if field.Tag != nil && fieldTag.MatchString(field.Tag.Value) {
					text, _ := strconv.Unquote(field.Tag.Value)
					tags = append(tags, helpText.ReplaceAllString(text, ""))
				}
			}
			if len(tags) > 0 {
				found[strings.Join(tags, " | ")] = true
			}
			return true
		})
	}
	return sorted(found)
}

// contractString finds string literals that are keys of the state service, paths of requests, names of metrics' labels and
// variables of the environment.
var contractString = regexp.MustCompile(`^([wfr]/[a-z/]*|/[a-z0-9_/{}]+|[A-Z]+(_[A-Z]+)+)$`)

func contractStrings(t *testing.T, sources []*ast.File) []string {
	t.Helper()
	found := map[string]bool{}
	for _, file := range sources {
		ast.Inspect(file, func(node ast.Node) bool {
			switch n := node.(type) {
			case *ast.BasicLit:
				if text, err := strconv.Unquote(n.Value); n.Kind == token.STRING && err == nil && contractString.MatchString(text) {
					found[text] = true
				}
			case *ast.ValueSpec:
				for i, name := range n.Names {
					if strings.HasPrefix(name.Name, "exit") && i < len(n.Values) {
						if value, ok := n.Values[i].(*ast.BasicLit); ok {
							found["exit status "+value.Value] = true
						}
					}
				}
			}
			return true
		})
	}
	if len(found) == 0 {
		t.Fatal("nothing was found")
	}
	return sorted(found)
}

// grpcNames lists the services and messages of a file with their methods, and fields with numbers and types.
func grpcNames(file protoreflect.FileDescriptor) []string {
	var lines []string
	for i := range file.Services().Len() {
		methods := file.Services().Get(i).Methods()
		for k := range methods.Len() {
			m := methods.Get(k)
			lines = append(lines, fmt.Sprintf("%s(%s) %s, streams %v %v", m.FullName(), m.Input().FullName(), m.Output().FullName(),
				m.IsStreamingClient(), m.IsStreamingServer()))
		}
	}
	for i := range file.Messages().Len() {
		lines = append(lines, messageNames(file.Messages().Get(i))...)
	}
	for i := range file.Enums().Len() {
		values := file.Enums().Get(i).Values()
		for k := range values.Len() {
			lines = append(lines, fmt.Sprintf("%s = %d", values.Get(k).FullName(), values.Get(k).Number()))
		}
	}
	sort.Strings(lines)
	return lines
}

func messageNames(message protoreflect.MessageDescriptor) []string {
	var lines []string
	for i := range message.Fields().Len() {
		f := message.Fields().Get(i)
		lines = append(lines, fmt.Sprintf("%s %s %s = %d", f.FullName(), f.Cardinality(), f.Kind(), f.Number()))
	}
	for i := range message.Messages().Len() {
		lines = append(lines, messageNames(message.Messages().Get(i))...)
	}
	return lines
}

// metricNames lists the metrics of a node that has counted one of each, with types and labels, but not those of the Go
// runtime and the process.
func metricNames(t *testing.T) []string {
	t.Helper()
	recorder := metrics.New(func() core.Status { return core.Status{} })
	recorder.Input("tick", time.Second)
	recorder.Request("submit", 201)
	recorder.Call(metrics.Store, "txn", "ok")
	found := map[string]bool{}
	for _, line := range strings.Split(scrape(t, recorder), "\n") {
		if strings.HasPrefix(line, "# TYPE bitternwing_") || strings.HasPrefix(line, "bitternwing_") {
			found[withoutValue(line)] = true
		}
	}
	return sorted(found)
}

// withoutValue cuts the value off a line of a sample.
func withoutValue(line string) string {
	if strings.HasPrefix(line, "#") {
		return line
	}
	return line[:strings.LastIndex(line, " ")]
}

// scrape gets a recorder's metrics as a scraper does.
func scrape(t *testing.T, recorder *metrics.Recorder) string {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := metrics.NewServer(recorder, metrics.Options{MaxConnections: 1, RequestTimeout: time.Minute}, slog.New(slog.DiscardHandler))
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+listener.Addr().String()+"/metrics", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func sorted(set map[string]bool) []string {
	var list []string
	for text := range set {
		list = append(list, text)
	}
	sort.Strings(list)
	return list
}
