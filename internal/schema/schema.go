// Package schema validates JSON documents against published JSON schemas. Its errors are one line that names the field.
package schema

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
)

// Check validates a document against a schema with a name. The error names the field.
func Check(name string, schemaText, document []byte) error {
	parsed, err := jsonschema.UnmarshalJSON(bytes.NewReader(document))
	if err != nil {
		return fmt.Errorf("not JSON: %w", err)
	}
	parsedSchema, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaText))
	if err != nil {
		return fmt.Errorf("schema %s: %w", name, err)
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(name, parsedSchema); err != nil {
		return fmt.Errorf("schema %s: %w", name, err)
	}
	compiled, err := compiler.Compile(name)
	if err != nil {
		return fmt.Errorf("schema %s: %w", name, err)
	}
	return singleLineError(compiled.Validate(parsed))
}

// singleLineError gives the innermost cause of a validation error, with the path of the field.
func singleLineError(err error) error {
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return err
	}
	for len(invalid.Causes) > 0 {
		invalid = invalid.Causes[0]
	}
	return fmt.Errorf("/%s: %s", strings.Join(invalid.InstanceLocation, "/"), lastLine(invalid.Error()))
}

// lastLine keeps the part of a validation error that names the problem.
func lastLine(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	last := strings.TrimSpace(lines[len(lines)-1])
	if _, problem, found := strings.Cut(last, "': "); found {
		return problem
	}
	return last
}
