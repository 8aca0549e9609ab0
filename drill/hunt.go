package drill

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"currantstile/judge"
)

// Hunt plays drawn days and looks for broken rules. Its fields are set before Run.
type Hunt struct {
	Fleet Fleet
	// Play plays one day; nil is Play in real time. Under testing/synctest it opens a bubble.
	Play func(name string, f Fleet, d *Day) Outcome
	// First is the first seed, Seeds the number of days, Jobs how many are played at once.
	First uint64
	Seeds int
	Jobs  int
	// Options are those of the days; their seed is set.
	Options Options
	// Rule looks at one rule only; empty looks at all.
	Rule string
	// Budget is how many plays a failing day may take to be made smaller; 0 leaves it as it is.
	Budget int
	// Keep stores a failing day. It may be nil.
	Keep func(d *Day) (name string, err error)
	// Out gets the progress.
	Out io.Writer
}

// Summary is the result of a hunt.
type Summary struct {
	Days int
	// Broken are the days on which a rule was broken, by seed, and NotReady those whose fleet did not
	// start.
	Broken   []BrokenDay
	NotReady []uint64
	// Rules are all rules with their cases over all days.
	Rules []RuleSummary
	Took  time.Duration
}

// BrokenDay is a day on which a rule was broken.
type BrokenDay struct {
	Seed  uint64
	Rule  string
	Text  string
	Story []string
	// File is where the day was kept; empty if it was not.
	File string
}

// RuleSummary is what a hunt found about one rule.
type RuleSummary struct {
	Rule string
	// Days are those on which it was exercised, Cases how often, and Broken those on which it was
	// broken.
	Days   int
	Cases  int
	Broken int
}

// progressInterval is after how many days a line of progress is written.
const progressInterval = 50

// Run plays all days. now returns the time for the speed that is shown.
func (h *Hunt) Run(now func() time.Time) Summary {
	start := now()
	s := Summary{
		Rules: make([]RuleSummary, 0, len(judge.Rules())),
	}
	for _, r := range judge.Rules() {
		s.Rules = append(s.Rules, RuleSummary{
			Rule: r,
		})
	}
	seeds := make(chan uint64)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range max(h.Jobs, 1) {
		wg.Go(func() {
			for seed := range seeds {
				o := h.Options
				o.Seed = seed
				d := Draw(o)
				out := h.play(d)
				verdicts := judge.Judge(out.History)
				mu.Lock()
				broken := s.add(h.Rule, seed, out, verdicts)
				if s.Days%progressInterval == 0 {
					took := now().Sub(start)
					fmt.Fprintf(h.Out, "%d days, %.0f a minute, %d with a broken rule\n", s.Days, float64(s.Days)/took.Minutes(), len(s.Broken))
				}
				mu.Unlock()
				for _, v := range broken {
					b := h.trace(d, out, v)
					mu.Lock()
					fmt.Fprintf(h.Out, "seed %d: %s broken: %s; day kept in %q\n", seed, v.Rule, b.Text, b.File)
					s.Broken = append(s.Broken, b)
					mu.Unlock()
				}
			}
		})
	}
	for i := range h.Seeds {
		seeds <- h.First + uint64(i)
	}
	close(seeds)
	wg.Wait()
	slices.SortFunc(s.Broken, func(a, b BrokenDay) int {
		return int(int64(a.Seed) - int64(b.Seed))
	})
	s.Took = now().Sub(start)
	return s
}

func (h *Hunt) play(d *Day) Outcome {
	if h.Play == nil {
		return Play(h.Fleet, d)
	}
	return h.Play(fmt.Sprint(d.Seed), h.Fleet, d)
}

// add adds a day, and returns the verdicts of its broken rules.
func (s *Summary) add(rule string, seed uint64, out Outcome, verdicts []judge.Verdict) []judge.Verdict {
	s.Days++
	if !out.Ready {
		s.NotReady = append(s.NotReady, seed)
		return nil
	}
	var broken []judge.Verdict
	for i, v := range verdicts {
		r := &s.Rules[i]
		r.Cases += v.Exercised
		if v.Exercised > 0 {
			r.Days++
		}
		if len(v.Breaks) > 0 && (rule == "" || v.Rule == rule) {
			r.Broken++
			broken = append(broken, v)
		}
	}
	return broken
}

// trace makes a broken day smaller and keeps it.
func (h *Hunt) trace(d *Day, out Outcome, v judge.Verdict) BrokenDay {
	small := d
	if h.Budget > 0 {
		small = Shrink(d, v.Breaks[0].Requests, h.Budget, func(d *Day) bool {
			o := h.play(d)
			broken := Breaks(o.History, v.Rule)
			if len(broken) == 0 {
				return false
			}
			out, v = o, broken[0]
			return true
		})
	}
	b := BrokenDay{
		Seed:  d.Seed,
		Rule:  v.Rule,
		Text:  v.Breaks[0].Text,
		Story: out.History.Story(v.Breaks[0].Requests),
	}
	if h.Keep != nil {
		name, err := h.Keep(small)
		if err != nil {
			fmt.Fprintf(h.Out, "seed %d: the day can't be kept: %v\n", d.Seed, err)
		}
		b.File = name
	}
	return b
}

// String returns the summary as a table.
func (s Summary) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d days in %.1f s, %.0f a minute; %d with a broken rule, %d whose fleet did not start\n",
		s.Days, s.Took.Seconds(), float64(s.Days)/s.Took.Minutes(), len(s.Broken), len(s.NotReady))
	fmt.Fprintf(&b, "%-12s %6s %9s %7s\n", "rule", "days", "cases", "broken")
	for _, r := range s.Rules {
		note := ""
		if r.Cases == 0 {
			note = "  not exercised"
		}
		fmt.Fprintf(&b, "%-12s %6d %9d %7d%s\n", r.Rule, r.Days, r.Cases, r.Broken, note)
	}
	return b.String()
}
