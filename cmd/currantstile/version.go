package main

import (
	"context"
	"fmt"
	"io"
	"runtime"
)

// version is the version of the program; releases set it with -ldflags -X.
var version = "0.1.0-dev"

const usageVersion = `
currantstile version

Prints the program's version and the version of Go that built it.

Example:
  currantstile version
`

func runVersion(_ context.Context, args []string, out, _ io.Writer) error {
	if err := parseNoArgs(newFlags("version"), args); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "currantstile %s (%s)\n", version, runtime.Version())
	return err
}
