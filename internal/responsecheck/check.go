// Package responsecheck evaluates responses of model servers with checks that operators write in Starlark. A check is
// limited in execution steps and time, has no access to anything outside its arguments, and passes only if it returns
// True.
package responsecheck

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	starlarkjson "go.starlark.net/lib/json"
	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// maxSteps limits the execution steps of a check. A check defines a function functionName with parameterCount
// parameters.
const (
	maxSteps       = 1_000_000
	functionName   = "check"
	parameterCount = 3
)

// Check is a compiled check.
type Check struct{ program *starlark.Program }

// fileOptions enable language features that are safe because execution is bounded.
var fileOptions = &syntax.FileOptions{Set: true, While: true, TopLevelControl: true, GlobalReassign: true}

// Compile compiles a check. The text of its error is a single line.
func Compile(script string) (*Check, error) {
	predeclared := func(string) bool { return false }
	_, program, err := starlark.SourceProgramOptions(fileOptions, "check.star", script, predeclared)
	if err != nil {
		return nil, fmt.Errorf("does not compile: %w", err)
	}
	c := &Check{program}
	if _, err := c.checkFunction(newThread()); err != nil {
		return nil, err
	}
	return c, nil
}

func newThread() *starlark.Thread {
	thread := &starlark.Thread{Name: functionName, Print: func(*starlark.Thread, string) {}}
	thread.SetMaxExecutionSteps(maxSteps)
	return thread
}

// checkFunction runs the script and returns the check function that it defines.
func (c *Check) checkFunction(thread *starlark.Thread) (starlark.Callable, error) {
	globals, err := c.program.Init(thread, nil)
	if err != nil {
		return nil, fmt.Errorf("does not run: %w", err)
	}
	function, ok := globals[functionName].(*starlark.Function)
	if !ok || function.NumParams() != parameterCount {
		return nil, fmt.Errorf("defines no function %s(request, answer, expected)", functionName)
	}
	return function, nil
}

// ErrNoVerdict reports that a check failed to run, or returned neither True nor False.
var ErrNoVerdict = errors.New("the check gave no verdict")

// Passes reports whether a response passes the check. The request, the response and the expected value are JSON. An
// error, which is also returned when the context ends, says nothing about the response.
func (c *Check) Passes(ctx context.Context, request, response, expected json.RawMessage) (bool, error) {
	thread := newThread()
	stop := context.AfterFunc(ctx, func() { thread.Cancel("it took too long") })
	defer stop()
	function, err := c.checkFunction(thread)
	if err != nil {
		return false, fmt.Errorf("%w: %w", ErrNoVerdict, err)
	}
	arguments := make(starlark.Tuple, 0, parameterCount)
	for _, text := range []json.RawMessage{request, response, expected} {
		value, err := decode(thread, text)
		if err != nil {
			return false, fmt.Errorf("%w: %w", ErrNoVerdict, err)
		}
		arguments = append(arguments, value)
	}
	result, err := starlark.Call(thread, function, arguments, nil)
	if err != nil {
		return false, fmt.Errorf("%w: %w", ErrNoVerdict, err)
	}
	passed, ok := result.(starlark.Bool)
	if !ok {
		return false, fmt.Errorf("%w: it gave a %s", ErrNoVerdict, result.Type())
	}
	return bool(passed), nil
}

// decode converts JSON to a Starlark value. Empty text becomes None.
func decode(thread *starlark.Thread, text json.RawMessage) (starlark.Value, error) {
	if len(text) == 0 {
		return starlark.None, nil
	}
	return starlark.Call(thread, starlarkjson.Module.Members["decode"], starlark.Tuple{starlark.String(text)}, nil)
}
