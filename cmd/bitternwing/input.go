package main

import (
	"io"
	"os"

	"bitternwing/internal/wire"
)

// stdinName is the file name that means standard input.
const stdinName = "-"

// readInput reads a file or standard input. It reads at most one byte more than the largest request, so that the parser
// rejects longer input.
func readInput(name string) ([]byte, error) {
	if name == stdinName {
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
