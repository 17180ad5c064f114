package config

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Load reads and validates the platform's settings file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s, err := Parse(data)
	if err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return s, nil
}

// Parse decodes and validates the content of the platform's settings file. The operator settings have their defaults.
func Parse(data []byte) (*Settings, error) {
	s := &Settings{}
	if err := toml.Unmarshal(data, s); err != nil {
		return nil, withLineAndField(err)
	}
	if err := s.validate(); err != nil {
		return nil, err
	}
	s.Operator = DefaultOperatorSettings()
	return s, nil
}

// withLineAndField adds the line number and the field's key to an error of the TOML decoder.
func withLineAndField(err error) error {
	var decodeError *toml.DecodeError
	if !errors.As(err, &decodeError) {
		return err
	}
	line, _ := decodeError.Position()
	return fmt.Errorf("line %d: %s: %w", line, strings.Join(decodeError.Key(), "."), decodeError)
}
