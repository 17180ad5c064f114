package main

import (
	"io"
	"os"

	"bitternwing/internal/wire"
)

// standardInput is the name that stands for standard input.
const standardInput = "-"

// readInput reads a file, or standard input, up to just beyond the largest request: what is longer is refused when it is parsed.
func readInput(name string) ([]byte, error) {
	if name == standardInput {
		return readLimited(os.Stdin)
	}
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return readLimited(file)
}

func readLimited(reader io.Reader) ([]byte, error) {
	return io.ReadAll(io.LimitReader(reader, wire.MaxBodyBytes+1))
}
