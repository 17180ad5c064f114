// Package schema checks JSON documents against published schemas, and says in one line what is wrong.
package schema

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
)

// Check checks a document against a schema with a name. The error names the field.
func Check(name string, schemaText, document []byte) error {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(document))
	if err != nil {
		return fmt.Errorf("not JSON: %w", err)
	}
	schemaDoc, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaText))
	if err != nil {
		return err
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(name, schemaDoc); err != nil {
		return err
	}
	compiled, err := c.Compile(name)
	if err != nil {
		return err
	}
	return singleLineError(compiled.Validate(doc))
}

// singleLineError gives the innermost cause of a validation error, with the place of the field.
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

// lastLine keeps the part of a schema error that names the trouble.
func lastLine(s string) string {
	lines := strings.Split(strings.TrimSpace(s), "\n")
	l := strings.TrimSpace(lines[len(lines)-1])
	if _, after, ok := strings.Cut(l, "': "); ok {
		return after
	}
	return l
}
