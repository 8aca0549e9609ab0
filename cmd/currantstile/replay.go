package main

import (
	"context"
	"fmt"
	"io"
	"slices"

	"github.com/pkg/errors"

	"currantstile/replay"
)

const usageReplay = `
currantstile replay [-pattern NAME] [-policy NAME] [-seeds N] [-first N] [-list]

Plays patterns of load through the decisions on admission and placement, in
simulated time against a model of targets, and prints a table: for each pattern
and policy the worth earned, the adapters fetched from the weight store, and for
each class how many requests were answered on time, late, refused, given up by
their callers or failed, with the time to the first token in milliseconds.

Flags:
  -pattern NAME   only this pattern; -list names them all
  -policy NAME    only this policy
  -seeds N        number of seeds over which results are summed (default 3)
  -first N        the first seed (default 1)
  -list           list the patterns and policies

Example:
  currantstile replay -pattern long
`

func runReplay(ctx context.Context, args []string, out, _ io.Writer) error {
	fs := newFlags("replay")
	pattern := fs.String("pattern", "", "only this pattern")
	policy := fs.String("policy", "", "only this policy")
	seeds := fs.Uint64("seeds", 3, "number of seeds")
	first := fs.Uint64("first", 1, "the first seed")
	list := fs.Bool("list", false, "list the patterns and policies")
	if err := parseNoArgs(fs, args); err != nil {
		return err
	}
	if *list {
		listReplays(out)
		return nil
	}
	if *seeds == 0 {
		return &usageError{
			command: "replay",
			message: "-seeds must be at least 1",
		}
	}
	patterns, policies := replay.Patterns(), replay.Policies()
	if *pattern != "" {
		patterns = slices.DeleteFunc(patterns, func(p replay.Pattern) bool {
			return p.Name != *pattern
		})
	}
	if *policy != "" {
		policies = slices.DeleteFunc(policies, func(p replay.Policy) bool {
			return p.Name != *policy
		})
	}
	if len(patterns) == 0 || len(policies) == 0 {
		return errors.New("no such pattern or policy; -list names them all")
	}
	for _, p := range patterns {
		fmt.Fprintf(out, "%s: %s\n", p.Name, p.Summary)
		fmt.Fprintf(out, "  %-17s %6s %6s  %-10s %6s %6s %6s %6s %6s %6s %6s %6s\n",
			"policy", "worth", "loads", "class", "asked", "ontime", "late", "refus", "left", "fail", "p50", "p95")
		for _, y := range policies {
			if ctx.Err() != nil {
				return errors.Wrap(ctx.Err(), "replay")
			}
			printReplays(out, p, y, *first, *seeds)
		}
	}
	return nil
}

// printReplays plays a pattern with a policy and prints the sums over all seeds, percentiles and
// worth as means.
func printReplays(out io.Writer, p replay.Pattern, y replay.Policy, first, seeds uint64) {
	var results []*replay.Result
	worth, loads := 0.0, 0
	for seed := first; seed < first+seeds; seed++ {
		r := replay.Run(replay.Experiment{
			Pattern: p,
			Policy:  y,
			Seed:    seed,
		})
		results = append(results, r)
		worth += r.Worth() / float64(seeds)
		loads += r.Loads
	}
	for i, c := range p.Classes {
		name, summary := "", fmt.Sprintf("%6s %6s", "", "")
		if i == 0 {
			name, summary = y.Name, fmt.Sprintf("%6.3f %6d", worth, loads)
		}
		var sum replay.ClassResult
		p50, p95 := int64(0), int64(0)
		for _, r := range results {
			c := r.Classes[i]
			sum.Asked += c.Asked
			sum.OnTime += c.OnTime
			sum.Late += c.Late
			sum.Refused += c.Refused
			sum.Left += c.Left
			sum.Failed += c.Failed
			p50 += c.FirstToken(50).Milliseconds() / int64(seeds)
			p95 += c.FirstToken(95).Milliseconds() / int64(seeds)
		}
		fmt.Fprintf(out, "  %-17s %s  %-10s %6d %6d %6d %6d %6d %6d %6d %6d\n",
			name, summary, c.Name, sum.Asked, sum.OnTime, sum.Late, sum.Refused, sum.Left, sum.Failed, p50, p95)
	}
}

// listReplays prints the patterns and policies.
func listReplays(out io.Writer) {
	for _, p := range replay.Patterns() {
		fmt.Fprintf(out, "pattern %-16s %s\n", p.Name, p.Summary)
	}
	for _, y := range replay.Policies() {
		fmt.Fprintf(out, "policy  %s\n", y.Name)
	}
}
