package main

import (
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The tests pass only if exactly the known failures occur. A failed package is a failure of its own if none of its
// tests failed.
func TestEvaluate(t *testing.T) {
	const failures = `{"Action":"fail","Package":"p","Test":"TestA/x"}
{"Action":"fail","Package":"p","Test":"TestA"}
{"Action":"pass","Package":"p","Test":"TestB"}
{"Action":"fail","Package":"p"}
`
	known := map[string]string{"TestA/x": "TestA/x; cause; 1"}
	for name, c := range map[string]struct {
		known map[string]string
		in    string
		ok    bool
	}{
		"all tests pass":                 {nil, `{"Action":"pass","Package":"p","Test":"TestA"}`, true},
		"an unknown failure":             {nil, failures, false},
		"a known failure":                {known, failures, true},
		"a known and an unknown failure": {known, failures + `{"Action":"fail","Package":"p","Test":"TestA/y"}`, false},
		"a known failure passes":         {known, `{"Action":"pass","Package":"p","Test":"TestA/x"}`, false},
		"another package does not build": {known, failures + `{"Action":"fail","Package":"q"}`, false},
	} {
		if err := evaluate(c.known, strings.NewReader(c.in), io.Discard); (err == nil) != c.ok {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// A missing file means no known failures. A line without three fields and a file with more than three lines are errors.
func TestReadKnownFailures(t *testing.T) {
	path := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
	if known, err := readKnownFailures(path); len(known) != 0 || err != nil {
		t.Error("no file:", known, err)
	}
	for text, ok := range map[string]bool{
		"TestA; slow clock; 7\n":               true,
		"TestA slow clock":                     false,
		"A; b; 1\nB; b; 1\nC; b; 1\nD; b; 1\n": false,
	} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := readKnownFailures(path); (err == nil) != ok {
			t.Errorf("%q: %v", text, err)
		}
	}
}
