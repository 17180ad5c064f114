package main

import (
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestVerdict(t *testing.T) {
	const red = `{"Action":"fail","Package":"p","Test":"TestA/x"}
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
		"all pass":            {nil, `{"Action":"pass","Package":"p","Test":"TestA"}`, true},
		"one fails":           {nil, red, false},
		"a known one fails":   {known, red, true},
		"another one as well": {known, red + `{"Action":"fail","Package":"p","Test":"TestA/y"}`, false},
		"a known one passes":  {known, `{"Action":"pass","Package":"p","Test":"TestA/x"}`, false},
		"no build elsewhere":  {known, red + `{"Action":"fail","Package":"q"}`, false},
	} {
		if err := judge(c.known, strings.NewReader(c.in), io.Discard); (err == nil) != c.ok {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestRead(t *testing.T) {
	path := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
	if known, err := readKnown(path); len(known) != 0 || err != nil {
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
		if _, err := readKnown(path); (err == nil) != ok {
			t.Errorf("%q: %v", text, err)
		}
	}
}
