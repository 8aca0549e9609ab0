package main

import (
	"context"
	"fmt"
	"io"

	"currantstile/admin"
)

const usageAdapter = `
currantstile adapter list [-operator URL] [-json]

Lists the adapters on the targets that the queried instance manages, with their
state and how many requests may run on each now.

Example:
  currantstile adapter list -operator http://10.0.0.5:8081
`

func runAdapter(ctx context.Context, args []string, out, _ io.Writer) error {
	_, args, err := parseVerb("adapter", args, "list")
	if err != nil {
		return err
	}
	return runDocument(ctx, "adapter", "/v1/adapters", args, out, printAdapters)
}

func printAdapters(w io.Writer, lines admin.AdapterStatuses) {
	for _, l := range lines {
		fmt.Fprintf(w, "%-12s %-40s %-9s %d\n", l.Target, l.Adapter, l.State, l.Pinned)
	}
}
