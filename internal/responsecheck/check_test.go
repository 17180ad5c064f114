package responsecheck

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"
)

// TestPasses judges responses; a check that fails, hangs or gives no verdict never passes.
func TestPasses(t *testing.T) {
	for _, x := range []struct {
		name, script, answer string
		passes, verdict      bool
	}{
		{"right", "def check(request, answer, expected):\n  return answer['text'] == expected", `{"text":"4"}`, true, true},
		{"wrong", "def check(request, answer, expected):\n  return answer['text'] == expected", `{"text":"5"}`, false, true},
		{"by the request", "def check(request, answer, expected):\n  return request['n'] * 2 == answer", `8`, true, true},
		{"no such field", "def check(request, answer, expected):\n  return answer['text'] == expected", `{}`, false, false},
		{"not JSON", "def check(request, answer, expected):\n  return True", `{`, false, false},
		{"no verdict", "def check(request, answer, expected):\n  return 1", `1`, false, false},
		{"none", "def check(request, answer, expected):\n  pass", `1`, false, false},
		{"hangs", "def check(request, answer, expected):\n  while True:\n    pass", `1`, false, false},
		{"grows", "def check(request, answer, expected):\n  x = [1]\n  for i in range(100):\n    x = [i for i in range(100000)]\n  return True", `1`, false, false},
		{"fails", "def check(request, answer, expected):\n  fail('no')", `1`, false, false},
	} {
		c, err := Compile(x.script)
		if err != nil {
			t.Fatal(x.name, err)
		}
		passes, err := c.Passes(context.Background(), json.RawMessage(`{"n":4}`), json.RawMessage(x.answer), json.RawMessage(`"4"`))
		if passes != x.passes || (err == nil) != x.verdict || err != nil && !errors.Is(err, ErrNoVerdict) {
			t.Errorf("%s: %v, %v", x.name, passes, err)
		}
	}
}

// TestContextEnd has a check end with its context, whatever it does.
func TestContextEnd(t *testing.T) {
	c, err := Compile("def check(request, answer, expected):\n  while True:\n    pass")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Nanosecond)
	defer cancel()
	if passes, err := c.Passes(ctx, nil, json.RawMessage(`1`), nil); passes || !strings.Contains(err.Error(), "too long") {
		t.Errorf("%v, %v", passes, err)
	}
}

// TestCompile refuses what is no check.
func TestCompile(t *testing.T) {
	for _, script := range []string{"", "def check(request, answer):\n  return True", "def judge(request, answer, expected):\n  return True",
		"def check(request, answer, expected)\n  return True", "load('os', 'x')\ndef check(request, answer, expected):\n  return x", "check = 1",
		"while True:\n  pass\ndef check(request, answer, expected):\n  return True", "def check(request, answer, expected):\n  return open('/etc/passwd')"} {
		if _, err := Compile(script); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v", script, err)
		}
	}
}
