package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"currantstile/drill"
	"currantstile/judge"
)

const usageTrial = `
currantstile trial hunt|play [flags] [FILE]

Plays days of misbehaviour: a fleet in an emulated platform, with callers, targets,
a store and operators that go wrong in ways drawn from a seed, in simulated time.
Each rule is judged from what callers and targets saw. docs/TRIALS.md says what a
day is and how a verdict is read.

  hunt        play days drawn from seeds, make those that break a rule smaller and
              keep them as files
  play FILE   play one day, show each rule and the events of each break

Flags of hunt:
  -seeds N        number of days (default 100)
  -first K        the first seed (default 1)
  -rule NAME      only this rule
  -jobs N         days played at once (default: the processors)
  -length TIME    length of a day (default 30s)
  -rate N         requests in a second (default 25)
  -instances N    number of instances, with targets in proportion (default: 2 to 4)
  -smaller N      plays that a failing day may take to be made smaller (default 150)
  -keep DIR       where failing days are kept (default: they are not)

Flags of play:
  -log DIR        write the instances' logs there, for currantstile explain

Flags of both:
  -real-time      play by the real clock

Example:
  currantstile trial hunt -seeds 500 -keep findings
  currantstile trial play -log logs findings/531-crash.day
`

// errBroken means that a rule was broken.
var errBroken = errors.New("a rule was broken")

func runTrial(ctx context.Context, args []string, out, errOut io.Writer) error {
	verb, args, err := parseVerb("trial", args, "hunt", "play")
	if err != nil {
		return err
	}
	if verb == "play" {
		return runTrialPlay(args, out, errOut)
	}
	return runTrialHunt(ctx, args, out, errOut)
}

// playDay plays a day; the name distinguishes days that are played at once.
type playDay func(name string, f drill.Fleet, d *drill.Day) drill.Outcome

// simulate calls f with a function that plays days in simulated time. Bubbles of simulated time exist
// in tests only, so that the process becomes one and ends with f.
func simulate(errOut io.Writer, f func(playDay) error) {
	testing.Init()
	// There are no arguments to be wrong.
	_ = flag.CommandLine.Parse(nil)
	match := func(string, string) (bool, error) {
		return true, nil
	}
	testing.Main(match, []testing.InternalTest{
		{
			Name: "trial",
			F: func(t *testing.T) {
				err := f(func(name string, fleet drill.Fleet, d *drill.Day) drill.Outcome {
					var out drill.Outcome
					t.Run(name, func(t *testing.T) {
						synctest.Test(t, func(*testing.T) {
							out = drill.Play(fleet, d)
						})
					})
					return out
				})
				if err != nil {
					fmt.Fprintf(errOut, "currantstile trial: %s\n", err)
					os.Exit(exitFailed)
				}
				os.Exit(exitOK)
			},
		},
	}, nil, nil)
}

// inRealTime plays a day by the real clock.
func inRealTime(_ string, f drill.Fleet, d *drill.Day) drill.Outcome {
	return drill.Play(f, d)
}

func runTrialHunt(_ context.Context, args []string, out, errOut io.Writer) error {
	fs := newFlags("trial")
	seeds := fs.Int("seeds", 100, "number of days")
	first := fs.Uint64("first", 1, "the first seed")
	rule := fs.String("rule", "", "only this rule")
	jobs := fs.Int("jobs", runtime.NumCPU(), "days played at once")
	length := fs.Duration("length", 30*time.Second, "length of a day")
	rate := fs.Float64("rate", 25, "requests in a second")
	instances := fs.Int("instances", 0, "number of instances; 0 draws 2 to 4")
	smaller := fs.Int("smaller", 150, "plays that a failing day may take to be made smaller")
	keep := fs.String("keep", "", "where failing days are kept")
	realTime := fs.Bool("real-time", false, "play by the real clock")
	if err := parseNoArgs(fs, args); err != nil {
		return err
	}
	if *seeds < 1 || *jobs < 1 || *instances < 0 || *length < drill.MinLength || *rate <= 0 {
		return &usageError{
			command: "trial",
			message: fmt.Sprintf("-seeds and -jobs must be at least 1, -instances at least 0, -length at least %v, -rate above 0", drill.MinLength),
		}
	}
	h := &drill.Hunt{
		Fleet: drill.Fleet{
			NewInstance: newNode,
		},
		First: *first,
		Seeds: *seeds,
		Jobs:  *jobs,
		Options: drill.Options{
			Length:    *length,
			Rate:      *rate,
			Instances: *instances,
		},
		Rule:   *rule,
		Budget: *smaller,
		Out:    errOut,
	}
	if *keep != "" {
		if err := os.MkdirAll(*keep, 0o755); err != nil {
			return errors.Wrap(err, "trial")
		}
		h.Keep = func(d *drill.Day) (string, error) {
			name := filepath.Join(*keep, fmt.Sprintf("%d.day", d.Seed))
			return name, errors.Wrap(os.WriteFile(name, []byte(d.Encode()), 0o644), "trial")
		}
	}
	return withClock(*realTime, errOut, func(play playDay) error {
		h.Play = play
		s := h.Run(time.Now)
		fmt.Fprint(out, s)
		for _, b := range s.Broken {
			fmt.Fprintf(out, "seed %d: %s: %s\n", b.Seed, b.Rule, b.Text)
		}
		if len(s.Broken)+len(s.NotReady) > 0 {
			return errBroken
		}
		return nil
	})
}

// withClock calls f with a function that plays days by the real clock or in simulated time. In
// simulated time it does not return.
func withClock(realTime bool, errOut io.Writer, f func(playDay) error) error {
	if realTime {
		return f(inRealTime)
	}
	simulate(errOut, f)
	return nil
}

func runTrialPlay(args []string, out, errOut io.Writer) error {
	fs := newFlags("trial")
	logs := fs.String("log", "", "where the instances' logs are written")
	realTime := fs.Bool("real-time", false, "play by the real clock")
	if err := parseFlags(fs, args); err != nil {
		return err
	}
	names, err := exactArgs(fs, "FILE")
	if err != nil {
		return err
	}
	d, err := readDay(names[0])
	if err != nil {
		return err
	}
	f := drill.Fleet{
		NewInstance: newNode,
	}
	if *logs != "" {
		closeLogs, err := openLogs(&f, *logs, d.Instances)
		if err != nil {
			return err
		}
		defer closeLogs()
	}
	return withClock(*realTime, errOut, func(play playDay) error {
		return printOutcome(out, play(names[0], f, d))
	})
}

func readDay(name string) (*drill.Day, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "trial")
	}
	defer f.Close()
	d, err := drill.Parse(f)
	return d, errors.Wrap(err, name)
}

// openLogs lets the instances of a day write their logs to files in a directory.
func openLogs(f *drill.Fleet, dir string, instances int) (func(), error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, errors.Wrap(err, "trial")
	}
	files := make(map[string]*os.File)
	closeAll := func() {
		for _, file := range files {
			_ = file.Close()
		}
	}
	for i := range instances {
		name := drill.InstanceName(i)
		file, err := os.Create(filepath.Join(dir, name+".log"))
		if err != nil {
			closeAll()
			return nil, errors.Wrap(err, "trial")
		}
		files[name] = file
	}
	f.Log = func(instance string) io.Writer {
		return files[instance]
	}
	return closeAll, nil
}

// printOutcome prints each rule with its state and the events of each break.
func printOutcome(out io.Writer, o drill.Outcome) error {
	if !o.Ready {
		return errors.New("the fleet did not start")
	}
	broken := false
	for _, v := range judge.Judge(o.History) {
		fmt.Fprintf(out, "%-12s %-14s %6d cases\n", v.Rule, v.State(), v.Exercised)
		for _, b := range v.Breaks {
			broken = true
			fmt.Fprintf(out, "\n%s at %.3f s: %s\n%s\n\n", v.Rule, b.At.Seconds(), b.Text, strings.Join(o.History.Story(b.Requests), "\n"))
		}
	}
	if broken {
		return errBroken
	}
	return nil
}
