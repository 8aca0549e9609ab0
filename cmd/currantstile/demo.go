package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"currantstile/daemon"
	"currantstile/demo"
	"currantstile/model"
)

const usageDemo = `
currantstile demo [-user rheintal|pinebluff] [-seed N] [-quota MODE] [-log-level LEVEL]

Runs a complete fleet in one process on loopback: 7 instances, stand-ins for 18
model engines and 4 plain services, and a stand-in for each part of the platform,
sized like the deployment of one user. Once it accepts requests it prints one line
of JSON to stdout, with the addresses, a key of each organisation and a sample
adapter, and to stderr a curl command that can be pasted. It ends on SIGINT or
SIGTERM.

Example:
  currantstile demo -user pinebluff
`

func runDemo(ctx context.Context, args []string, out, errOut io.Writer) error {
	var logs logFlags
	fs := newFlags("demo")
	user := fs.String("user", string(demo.UserRheintal), "rheintal or pinebluff")
	seed := fs.Uint64("seed", 1, "random seed of the stand-ins")
	mode := fs.String("quota", string(daemon.QuotaLend), "lend, split or local")
	logs.register(fs, "warn")
	if err := parseNoArgs(fs, args); err != nil {
		return err
	}
	profile, err := demo.FindProfile(*user)
	var fieldErrs model.FieldErrors
	if fields, ok := err.(model.FieldErrors); ok {
		fieldErrs = append(fieldErrs, fields...)
	}
	logs.validate(&fieldErrs)
	if err := fieldErrs.Err(); err != nil {
		return settingsUsageError("demo", err)
	}
	f := &demo.Fleet{
		Profile: profile,
		Seed:    *seed,
		Quota:   daemon.QuotaMode(*mode),
		Log:     logs.logger(os.Stderr),
	}
	if err := f.Start(ctx); err != nil {
		return err
	}
	ready, err := json.Marshal(f.Info())
	if err != nil {
		return err
	}
	fmt.Fprintln(out, string(ready))
	fmt.Fprintln(errOut, f.Curl())
	<-ctx.Done()
	return f.Stop(context.WithoutCancel(ctx))
}
