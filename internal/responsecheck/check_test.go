package responsecheck

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"
)

// TestPasses checks the result for several scripts. A check that fails, does not terminate or returns no verdict never
// passes.
func TestPasses(t *testing.T) {
	for _, tt := range []struct {
		name, script, answer string
		passes, verdict      bool
	}{
		{"equal to expected", "def check(request, answer, expected):\n  return answer['text'] == expected", `{"text":"4"}`, true, true},
		{"not equal to expected", "def check(request, answer, expected):\n  return answer['text'] == expected", `{"text":"5"}`, false, true},
		{"depends on the request", "def check(request, answer, expected):\n  return request['n'] * 2 == answer", `8`, true, true},
		{"missing field", "def check(request, answer, expected):\n  return answer['text'] == expected", `{}`, false, false},
		{"response is not JSON", "def check(request, answer, expected):\n  return True", `{`, false, false},
		{"returns a number", "def check(request, answer, expected):\n  return 1", `1`, false, false},
		{"returns None", "def check(request, answer, expected):\n  pass", `1`, false, false},
		{"does not terminate", "def check(request, answer, expected):\n  while True:\n    pass", `1`, false, false},
		{"exceeds the step limit", "def check(request, answer, expected):\n  x = [1]\n  for i in range(100):\n    x = [i for i in range(100000)]\n  return True", `1`, false, false},
		{"raises an error", "def check(request, answer, expected):\n  fail('no')", `1`, false, false},
	} {
		c, err := Compile(tt.script)
		if err != nil {
			t.Fatal(tt.name, err)
		}
		passes, err := c.Passes(context.Background(), json.RawMessage(`{"n":4}`), json.RawMessage(tt.answer), json.RawMessage(`"4"`))
		if passes != tt.passes || (err == nil) != tt.verdict || err != nil && !errors.Is(err, ErrNoVerdict) {
			t.Errorf("%s: passes is %v, error %v", tt.name, passes, err)
		}
	}
}

// TestContextEnd checks that a check that does not terminate ends with its context.
func TestContextEnd(t *testing.T) {
	c, err := Compile("def check(request, answer, expected):\n  while True:\n    pass")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Nanosecond)
	defer cancel()
	if passes, err := c.Passes(ctx, nil, json.RawMessage(`1`), nil); passes || !strings.Contains(err.Error(), "too long") {
		t.Errorf("passes is %v, error %v", passes, err)
	}
}

// TestCompile checks that scripts without a valid check function are rejected with a one-line error.
func TestCompile(t *testing.T) {
	for _, script := range []string{"", "def check(request, answer):\n  return True", "def judge(request, answer, expected):\n  return True",
		"def check(request, answer, expected)\n  return True", "load('os', 'x')\ndef check(request, answer, expected):\n  return x", "check = 1",
		"while True:\n  pass\ndef check(request, answer, expected):\n  return True", "def check(request, answer, expected):\n  return open('/etc/passwd')"} {
		if _, err := Compile(script); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: error is %v, want one line", script, err)
		}
	}
}
