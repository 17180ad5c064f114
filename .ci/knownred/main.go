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

const maxLines = 3

func main() {
	known, err := readKnown(os.Args[1])
	if err == nil {
		var out io.Reader
		cmd := exec.CommandContext(context.Background(), "go", "test", "-race", "-json", "./...", "./.ci/knownred")
		cmd.Stderr = os.Stderr
		if out, err = cmd.StdoutPipe(); err == nil {
			if err = cmd.Start(); err == nil {
				err = errors.Join(judge(known, out, os.Stdout), unexcusedExit(cmd.Wait(), len(known)))
			}
		}
	}
	if err != nil {
		fmt.Println("tests:", err)
		os.Exit(1)
	}
}

// unexcusedExit gives a failure of the test run itself where none is excused.
func unexcusedExit(err error, known int) error {
	if known == 0 {
		return err
	}
	return nil
}

// readKnown gives the tests that may fail.
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
		parts := strings.SplitN(line, ";", 3)
		if len(parts) != 3 || strings.TrimSpace(parts[0]) == "" {
			return nil, fmt.Errorf("%s: %q is not test; cause; issue", path, line)
		}
		known[strings.TrimSpace(parts[0])] = line
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

// action is what an event tells.
type action string

// The actions that matter here.
const (
	actionOutput      action = "output"
	actionBuildOutput action = "build-output"
	actionPass        action = "pass"
	actionFail        action = "fail"
	actionBuildFail   action = "build-fail"
)

// testResults is what the events have told so far.
type testResults struct {
	passed   int
	failed   map[string]bool // tests
	byTest   map[string]bool // packages in which one failed
	packages map[string]bool // that failed
	output   map[string]*strings.Builder
}

// judge reads what go test -json prints and tells what failed beyond what is known.
func judge(known map[string]string, in io.Reader, out io.Writer) error {
	t := &testResults{failed: map[string]bool{}, byTest: map[string]bool{}, packages: map[string]bool{}, output: map[string]*strings.Builder{}}
	scan := bufio.NewScanner(in)
	scan.Buffer(nil, 64<<20)
	for scan.Scan() {
		var e event
		if json.Unmarshal(scan.Bytes(), &e) != nil {
			printLine(out, scan.Text())
			continue
		}
		t.take(e, out)
	}
	if err := scan.Err(); err != nil {
		return err
	}
	excused, err := t.excuse(known, out)
	if err != nil {
		return err
	}
	red := t.printFailures(excused, out)
	t.printOutput(out)
	printLine(out, fmt.Sprintf("%d passed, %d failed", t.passed, red))
	if red > 0 {
		return fmt.Errorf("%d failed", red)
	}
	return nil
}

// take counts an event.
func (t *testResults) take(e event, out io.Writer) {
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

// excuse gives the tests that may fail: those that are known to, and the tests that they are parts of. A known one
// that did not fail is an error.
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
func (t *testResults) printFailures(excused map[string]bool, out io.Writer) (red int) {
	for test := range t.failed {
		if !excused[test] {
			red++
			printLine(out, "FAIL", test)
		}
	}
	for name := range t.packages {
		if !t.byTest[name] {
			red++ // it did not build, or ended outside a test
			printLine(out, "FAIL", name)
		}
	}
	return red
}

// printOutput prints what failed tests and packages have printed.
func (t *testResults) printOutput(out io.Writer) {
	for key, b := range t.output {
		if text := b.String(); strings.Contains(text, "FAIL") || strings.Contains(text, "panic:") || strings.HasSuffix(key, " ") {
			printLine(out, strings.TrimSuffix(text, "\n"))
		}
	}
}

// printLine prints a line. Whoever can't print it has nobody to tell; the exit status stands.
func printLine(out io.Writer, args ...any) { _, _ = fmt.Fprintln(out, args...) }
