// Command knownred runs all tests. It fails if a test fails that is not listed in a file of known failures, which are
// tests that fail because of a real fault that has not been fixed yet. Each line of the file has the test's full name
// (TestTraces/store_outage), the cause and the issue, separated by semicolons. The file may have up to three lines. The command
// also fails if a listed test does not exist or does not fail, so that fixed tests are removed from the file. Without
// the file all tests must pass.
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

const maxKnownFailures = 3

func main() {
	if err := runTests(context.Background(), os.Args[1], os.Stdout); err != nil {
		fmt.Println("tests:", err)
		os.Exit(1)
	}
}

// runTests runs the tests, and returns an error if the failed tests are not exactly the known failures in the file at
// path.
func runTests(ctx context.Context, path string, out io.Writer) error {
	known, err := readKnownFailures(path)
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
	return errors.Join(evaluate(known, events, out), testRunError(cmd.Wait(), len(known)))
}

// testRunError returns the error of the go test command if there are no known failures. With known failures, a non-zero
// exit status is expected, and the events tell which tests failed.
func testRunError(err error, known int) error {
	if known == 0 {
		return err
	}
	return nil
}

// fieldsPerLine counts the fields of a line of the file: the test, the cause and the issue.
const fieldsPerLine = 3

// readKnownFailures reads the file of known failures. It returns each line by the name of its test.
func readKnownFailures(path string) (map[string]string, error) {
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
			return nil, fmt.Errorf("%s: line must have the form \"test; cause; issue\", is %q", path, line)
		}
		known[test] = line
	}
	if len(known) > maxKnownFailures {
		return nil, fmt.Errorf("%s: has %d lines, at most %d are allowed", path, len(known), maxKnownFailures)
	}
	return known, nil
}

// event is a line of the output of go test -json.
type event struct {
	Action  action
	Package string
	Test    string
	Output  string
}

// action is the kind of an event. Other actions than the following are ignored.
type action string

const (
	actionOutput      action = "output"
	actionBuildOutput action = "build-output"
	actionPass        action = "pass"
	actionFail        action = "fail"
	actionBuildFail   action = "build-fail"
)

// testResults collects the results from the events.
type testResults struct {
	passedTests           int
	failedTests           map[string]bool             // by name of the test
	packagesOfFailedTests map[string]bool             // packages with at least one failed test
	failedPackages        map[string]bool             // packages that did not build or did not pass
	output                map[string]*strings.Builder // by package and test, separated by a space
}

const maxEventBytes = 64 << 20

// evaluate reads the events of go test -json, and prints the results. It returns an error if the failures are not
// exactly the known failures.
func evaluate(known map[string]string, events io.Reader, out io.Writer) error {
	results := &testResults{failedTests: map[string]bool{}, packagesOfFailedTests: map[string]bool{}, failedPackages: map[string]bool{}, output: map[string]*strings.Builder{}}
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
	expected, err := results.matchKnownFailures(known, out)
	if err != nil {
		return err
	}
	failed := results.printUnexpectedFailures(expected, out)
	results.printOutput(out)
	printLine(out, fmt.Sprintf("%d passed, %d failed", results.passedTests, failed))
	if failed > 0 {
		return fmt.Errorf("%d failed", failed)
	}
	return nil
}

// add updates the results with an event. It prints a line for each package that passed.
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
			t.passedTests++
		} else {
			printLine(out, "ok  ", e.Package)
		}
		delete(t.output, key)
	case actionBuildFail:
		t.failedPackages[e.Package] = true
	case actionFail:
		if e.Test != "" {
			t.failedTests[e.Test], t.packagesOfFailedTests[e.Package] = true, true
		} else {
			t.failedPackages[e.Package] = true
		}
	}
}

// matchKnownFailures returns the tests that are expected to fail: the known failures and their parent tests. It returns
// an error if a known failure did not occur.
func (t *testResults) matchKnownFailures(known map[string]string, out io.Writer) (map[string]bool, error) {
	expected := map[string]bool{}
	for test, line := range known {
		if !t.failedTests[test] {
			return nil, fmt.Errorf("KNOWN-RED names %s, which does not exist or does not fail", test)
		}
		printLine(out, "KNOWN RED:", line)
		for name := test; name != ""; {
			expected[name] = true // a test fails if one of its subtests fails
			i := strings.LastIndex(name, "/")
			name = name[:max(i, 0)]
		}
	}
	return expected, nil
}

// printUnexpectedFailures prints and counts the failures that are not expected.
func (t *testResults) printUnexpectedFailures(expected map[string]bool, out io.Writer) (failed int) {
	for test := range t.failedTests {
		if !expected[test] {
			failed++
			printLine(out, "FAIL", test)
		}
	}
	for name := range t.failedPackages {
		if !t.packagesOfFailedTests[name] {
			failed++ // the package did not build, or failed outside a test
			printLine(out, "FAIL", name)
		}
	}
	return failed
}

// printOutput prints the output of failed tests, and all output of failed packages that belongs to no test.
func (t *testResults) printOutput(out io.Writer) {
	for key, b := range t.output {
		if text := b.String(); strings.Contains(text, "FAIL") || strings.Contains(text, "panic:") || strings.HasSuffix(key, " ") {
			printLine(out, strings.TrimSuffix(text, "\n"))
		}
	}
}

// printLine prints a line. It ignores write errors, because the exit status gives the result.
func printLine(out io.Writer, args ...any) { _, _ = fmt.Fprintln(out, args...) }
