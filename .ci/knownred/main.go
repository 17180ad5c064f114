// Command knownred runs the tests and gives one verdict: they pass, but for those that a file
// lists as failing for a real fault that is yet to be mended. It has a line each: the test's
// whole name (TestTraces/gap), the cause, the issue, set apart by semicolons; three lines at
// most. A line whose test does not exist or does not fail makes the verdict a failure, so that
// nothing is excused for longer than it has to be. Without the file all tests must pass.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/exec"
	"strings"
)

// maxLines is how many known failures there may be.
const maxLines = 3

func main() {
	if err := run(context.Background(), os.Args[1], os.Stdout); err != nil {
		fmt.Println("tests:", err)
		os.Exit(1)
	}
}

// run runs the tests and judges their results by the known failures in a file.
func run(ctx context.Context, path string, out io.Writer) error {
	known, err := readKnown(path)
	if err != nil {
		return err
	}
	cmd := exec.CommandContext(ctx, "go", "test", "-race", "-json", "./...", "./.ci/knownred")
	cmd.Stderr = os.Stderr
	events, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	return errors.Join(judge(known, events, out), unexcusedExit(cmd.Wait(), len(known)))
}

// unexcusedExit gives a failure of the test run itself where none is excused.
func unexcusedExit(err error, known int) error {
	if known == 0 {
		return err
	}
	return nil
}

// fieldsPerLine are the fields of a line of the file: the test, the cause and the issue.
const fieldsPerLine = 3

// readKnown reads the tests that may fail, with their lines.
func readKnown(path string) (map[string]string, error) {
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	known := map[string]string{}
	for _, line := range strings.Split(strings.TrimSpace(string(data)), "\n") {
		fields := strings.SplitN(line, ";", fieldsPerLine)
		test := strings.TrimSpace(fields[0])
		if len(fields) != fieldsPerLine || test == "" {
			return nil, fmt.Errorf("%s: %q is not test; cause; issue", path, line)
		}
		known[test] = line
	}
	if len(known) > maxLines {
		return nil, fmt.Errorf("%s: %d lines, at most %d", path, len(known), maxLines)
	}
	return known, nil
}

// event is a line of what go test -json prints.
type event struct {
	Action  action
	Package string
	Test    string
	Output  string
}

// action is the kind of an event.
type action string

// The actions that are handled.
const (
	actionOutput      action = "output"
	actionBuildOutput action = "build-output"
	actionPass        action = "pass"
	actionFail        action = "fail"
	actionBuildFail   action = "build-fail"
)

// testResults are the results in the events so far.
type testResults struct {
	passed   int
	failed   map[string]bool // tests
	byTest   map[string]bool // packages in which one failed
	packages map[string]bool // that failed
	output   map[string]*strings.Builder
}

// maxEventBytes bounds an event.
const maxEventBytes = 64 << 20

// judge reads the events of go test -json, and returns an error if a test failed that is not known to.
func judge(known map[string]string, events io.Reader, out io.Writer) error {
	results := &testResults{failed: map[string]bool{}, byTest: map[string]bool{}, packages: map[string]bool{}, output: map[string]*strings.Builder{}}
	scanner := bufio.NewScanner(events)
	scanner.Buffer(nil, maxEventBytes)
	for scanner.Scan() {
		var e event
		if json.Unmarshal(scanner.Bytes(), &e) != nil {
			printLine(out, scanner.Text())
			continue
		}
		results.add(e, out)
	}
	if err := scanner.Err(); err != nil {
		return err
	}
	excused, err := results.excuse(known, out)
	if err != nil {
		return err
	}
	failed := results.printFailures(excused, out)
	results.printOutput(out)
	printLine(out, fmt.Sprintf("%d passed, %d failed", results.passed, failed))
	if failed > 0 {
		return fmt.Errorf("%d failed", failed)
	}
	return nil
}

// add adds an event.
func (t *testResults) add(e event, out io.Writer) {
	key := e.Package + " " + e.Test
	switch e.Action {
	case actionOutput, actionBuildOutput:
		if t.output[key] == nil {
			t.output[key] = &strings.Builder{}
		}
		t.output[key].WriteString(e.Output)
	case actionPass:
		if e.Test != "" {
			t.passed++
		} else {
			printLine(out, "ok  ", e.Package)
		}
		delete(t.output, key)
	case actionBuildFail:
		t.packages[e.Package] = true
	case actionFail:
		if e.Test != "" {
			t.failed[e.Test], t.byTest[e.Package] = true, true
		} else {
			t.packages[e.Package] = true
		}
	}
}

// excuse gives the tests that may fail: the known failures, and the tests that they are parts of. A known failure
// that did not occur is an error.
func (t *testResults) excuse(known map[string]string, out io.Writer) (map[string]bool, error) {
	excused := map[string]bool{}
	for test, line := range known {
		if !t.failed[test] {
			return nil, fmt.Errorf("KNOWN-RED names %s, which does not exist or does not fail", test)
		}
		printLine(out, "KNOWN RED:", line)
		for name := test; name != ""; {
			excused[name] = true // a test fails with its part
			i := strings.LastIndex(name, "/")
			name = name[:max(i, 0)]
		}
	}
	return excused, nil
}

// printFailures prints and counts the failures that nothing excuses.
func (t *testResults) printFailures(excused map[string]bool, out io.Writer) (failed int) {
	for test := range t.failed {
		if !excused[test] {
			failed++
			printLine(out, "FAIL", test)
		}
	}
	for name := range t.packages {
		if !t.byTest[name] {
			failed++ // it did not build, or ended outside a test
			printLine(out, "FAIL", name)
		}
	}
	return failed
}

// printOutput prints the output of failed tests and packages.
func (t *testResults) printOutput(out io.Writer) {
	for key, b := range t.output {
		if text := b.String(); strings.Contains(text, "FAIL") || strings.Contains(text, "panic:") || strings.HasSuffix(key, " ") {
			printLine(out, strings.TrimSuffix(text, "\n"))
		}
	}
}

// printLine prints a line. Errors of printing are ignored: the exit status tells the verdict.
func printLine(out io.Writer, args ...any) { _, _ = fmt.Fprintln(out, args...) }
