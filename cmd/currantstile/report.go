package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"currantstile/admin"
)

const usageReport = `
currantstile report [-operator URL] [-json]

Prints a short report, 40 columns wide: first whether the promises held, then
each promise with its evidence, the organisations' requests, what is out of
service, and which instances did not answer. A promise without observations is
marked as such.

Example:
  currantstile report -operator http://10.0.0.5:8081
`

func runReport(ctx context.Context, args []string, out, _ io.Writer) error {
	return runDocument(ctx, "report", "/v1/report", args, out, printReport)
}

func printReport(w io.Writer, r admin.Report) {
	fmt.Fprintf(w, "%s\n%s, revision %d\n\n", verdictLine(r), r.At.Format(time.DateTime), r.Revision)
	for _, p := range r.Promises {
		fmt.Fprintf(w, "%s:\n  %s; %s\n", p.Promise, p.Verdict, p.Evidence)
	}
	fmt.Fprintf(w, "\n%-15s %7s %6s %5s\n", "organisation", "whole", "429", "cut")
	for _, l := range r.Organisations {
		fmt.Fprintf(w, "%-15.15s %7d %6d %5d\n", l.Organisation, l.Complete, l.RefusedRate, l.Failed+l.Unknown)
	}
	for _, o := range r.Out {
		fmt.Fprintf(w, "out: %s %s by %s\n", o.Kind, o.Name, o.By)
	}
	for _, id := range r.Unresponsive {
		fmt.Fprintf(w, "no answer from %s\n", id)
	}
}

// verdictLine returns a one-line summary of the promises. If one is broken, the
// verdict is BROKEN; a promise without observations is not counted as held.
func verdictLine(r admin.Report) string {
	held := 0
	for _, p := range r.Promises {
		switch p.Verdict {
		case admin.VerdictBroken:
			return "BROKEN"
		case admin.VerdictHeld:
			held++
		}
	}
	if held < len(r.Promises) {
		return fmt.Sprintf("%d of %d promises held, none broken", held, len(r.Promises))
	}
	return fmt.Sprintf("held: %d of %d promises judged", held, len(r.Promises))
}
