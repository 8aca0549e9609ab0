package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"currantstile/admin"
)

const usageStatus = `
currantstile status [-operator URL] [-json]

Shows each instance with its phase, the revision it has in force, how long ago the
store confirmed that revision, and how many requests it is running.

Example:
  currantstile status -operator http://10.0.0.5:8081
`

func runStatus(ctx context.Context, args []string, out, _ io.Writer) error {
	return runDocument(ctx, "status", "/v1/status", args, out, printStatus)
}

func printStatus(w io.Writer, s admin.FleetStatus) {
	fmt.Fprintf(w, "newest revision %d\n", s.Revision)
	for _, in := range s.Instances {
		if !in.Answered {
			fmt.Fprintf(w, "%-12s no answer: %s\n", in.ID, in.Error)
			continue
		}
		fmt.Fprintf(w, "%-12s %-12s %-9s revision %d, confirmed %s ago, %d running\n",
			in.ID, in.Zone, in.Phase, in.Revision, time.Duration(in.ConfirmedAgo), in.Running)
	}
	for _, o := range s.Out {
		fmt.Fprintf(w, "out: %s %s by %s\n", o.Kind, o.Name, o.By)
	}
}
