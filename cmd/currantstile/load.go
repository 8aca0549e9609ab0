package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"

	"currantstile/demo"
	"currantstile/model"
	"currantstile/trial"
)

const usageLoad = `
currantstile load [-scenario NAME] [-user rheintal|pinebluff] [-seed N] [-time TIME] [-list]

Runs an experiment against a demo fleet in this process: an open-loop load with
faults at set times, measured only at the callers and targets. The last line of
stdout is one JSON object with the measures, the bounds, and whether they held;
the exit code is 1 if one did not.

Flags:
  -scenario NAME   the experiment (default steady); -list names them all
  -user NAME       user whose deployment sets the fleet's size (default rheintal)
  -seed N          seed of arrivals, adapters and faults (default 1)
  -time TIME       duration of each phase, instead of the scenario's own
  -list            list the scenarios

Example:
  currantstile load -scenario hot-adapter -user pinebluff -seed 7
`

func runLoad(ctx context.Context, args []string, out, errOut io.Writer) error {
	var logs logFlags
	fs := newFlags("load")
	name := fs.String("scenario", "steady", "the experiment")
	user := fs.String("user", string(demo.UserRheintal), "rheintal or pinebluff")
	seed := fs.Uint64("seed", 1, "seed of arrivals, adapters and faults")
	phaseTime := fs.Duration("time", 0, "duration of each phase")
	list := fs.Bool("list", false, "list the scenarios")
	logs.register(fs, "error")
	if err := parseNoArgs(fs, args); err != nil {
		return err
	}
	if *list {
		listScenarios(out)
		return nil
	}
	s, err := validateLoad(*name, *user, *phaseTime, logs)
	if err != nil {
		return err
	}
	result, err := trial.Run(ctx, s, trial.Options{
		User:          demo.UserName(*user),
		Seed:          *seed,
		Log:           logs.logger(os.Stderr),
		Progress:      progressWriter(errOut),
		PhaseDuration: *phaseTime,
	})
	if err != nil {
		return err
	}
	line, err := json.Marshal(result)
	if err != nil {
		return err
	}
	fmt.Fprintln(out, string(line))
	if !result.Held {
		return errors.New("at least one measure is out of its bound; see the result on stdout")
	}
	return nil
}

func listScenarios(out io.Writer) {
	for _, s := range trial.Scenarios() {
		fmt.Fprintf(out, "%-16s %s\n", s.Name, s.Summary)
	}
}

func validateLoad(name, user string, phaseTime time.Duration, logs logFlags) (trial.Scenario, error) {
	var fieldErrs model.FieldErrors
	s, ok := trial.FindScenario(name)
	if !ok {
		fieldErrs.Add("scenario", "unknown scenario %q; see load -list", name)
	}
	if _, err := demo.FindProfile(user); err != nil {
		fieldErrs.Add("user", "%q is not one of rheintal, pinebluff", user)
	}
	if phaseTime < 0 {
		fieldErrs.Add("time", "must not be negative")
	}
	logs.validate(&fieldErrs)
	return s, settingsUsageError("load", fieldErrs.Err())
}

// progressWriter returns w if it is a terminal, and nil otherwise: progress is only shown to
// a person.
func progressWriter(w io.Writer) io.Writer {
	f, ok := w.(*os.File)
	if !ok {
		return nil
	}
	info, err := f.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return w
}
