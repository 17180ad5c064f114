// Package schema validates JSON documents against the project's JSON schemas. Its errors are one line that names the
// field.
package schema

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
)

// Validate validates a document against a schema. The error names the field. The name identifies the schema in errors
// about the schema itself.
func Validate(name string, schemaText, document []byte) error {
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
	return innermostError(compiled.Validate(parsed))
}

// innermostError returns the innermost cause of a validation error, with the path of the field.
func innermostError(err error) error {
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return err
	}
	for len(invalid.Causes) > 0 {
		invalid = invalid.Causes[0]
	}
	return fmt.Errorf("/%s: %s", strings.Join(invalid.InstanceLocation, "/"), problemOf(invalid.Error()))
}

// problemOf returns the last line of a validation error, without the location in the document that it begins with.
func problemOf(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	last := strings.TrimSpace(lines[len(lines)-1])
	if _, problem, found := strings.Cut(last, "': "); found {
		return problem
	}
	return last
}
