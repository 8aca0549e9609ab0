package main

import (
	"context"
	"flag"
	"io"
	"math"
	"os"
	"runtime/debug"

	"currantstile/daemon"
	"currantstile/logio"
	"currantstile/model"
)

const usageServe = `
currantstile serve -id NAME -data-centre NAME -callers ADDR -operators ADDR -peers ADDR -store ADDR -members ADDR

Runs one instance until SIGINT or SIGTERM, then shuts down gracefully: new
requests are refused, running ones may go on for up to -shutdown-timeout. Further
signals do not end it sooner; SIGHUP is logged and has no effect.

Flags:
  -id NAME                 name of this instance
  -data-centre NAME        data centre of this instance
  -callers ADDR            listen address for callers
  -operators ADDR          listen address for operators
  -peers ADDR              listen address for other instances
  -peers-advertised ADDR   address at which other instances reach -peers, if it differs
  -store ADDR              address of the platform's key-value service
  -members ADDR            address of the platform's list of instances
  -quota MODE              lend, or split or local for comparison (default lend)
  -operator-token TEXT     token that operators must present; without one, anybody
                           who reaches -operators is accepted (preferably set in
                           the environment)
  -fleet-secret TEXT       secret by which instances authenticate to one another;
                           without one, anybody who reaches -peers is accepted
  -alone-limit TIME        how long an instance that reaches neither the store
                           nor another instance goes on admitting (default 10s)
  -max-body BYTES          largest request body of a caller (default 4194304)
  -memory BYTES            memory that the process may use (default: what GOMEMLIMIT
                           implies, or 1073741824)
  -write-timeout TIME      limit for one write to a caller that does not read (default 10s)
  -shutdown-timeout TIME   limit for running requests at shutdown (default 1m30s)
  -log-level LEVEL         debug, info, warn or error (default info)
  -log-format FORMAT       console or json (default console)

ADDR is an IP address with a port. Every flag can be set in the environment, as
in CURRANTSTILE_DATA_CENTRE=buchs.

Example:
  currantstile serve -id entry-0 -data-centre buchs -callers 10.0.0.5:8080 \
    -operators 10.0.0.5:8081 -peers 10.0.0.5:8082 -store 10.0.0.2:2380 -members 10.0.0.2:2381
`

func runServe(ctx context.Context, args []string, _, _ io.Writer) error {
	hangups := catchHangups()
	ignoreBrokenPipe()
	var s daemon.Settings
	var logs logFlags
	fs := newFlags("serve")
	fs.StringVar((*string)(&s.ID), "id", "", "name of this instance")
	fs.StringVar((*string)(&s.Zone), "data-centre", "", "data centre of this instance")
	addrVar(fs, &s.CallersAddr, "callers", "listen address for callers")
	addrVar(fs, &s.OperatorsAddr, "operators", "listen address for operators")
	addrVar(fs, &s.PeersAddr, "peers", "listen address for other instances")
	addrVar(fs, &s.PeersAdvertised, "peers-advertised", "address at which other instances reach -peers, if it differs")
	addrVar(fs, &s.StoreAddr, "store", "address of the platform's key-value service")
	addrVar(fs, &s.MembersAddr, "members", "address of the platform's list of instances")
	fs.StringVar((*string)(&s.Quota), "quota", string(daemon.QuotaLend), "lend, split or local")
	fs.StringVar(&s.OperatorToken, "operator-token", "", "token that operators must present")
	fs.StringVar(&s.FleetSecret, "fleet-secret", "", "secret by which instances authenticate to one another")
	fs.DurationVar(&s.IsolationLimit, "alone-limit", daemon.DefaultIsolationLimit, "how long an instance that reaches neither the store nor another instance goes on admitting")
	limitVars(fs, &s)
	logs.register(fs, "info")
	if err := parseNoArgs(fs, args); err != nil {
		return err
	}
	var fieldErrs model.FieldErrors
	if err, ok := s.Validate().(model.FieldErrors); ok {
		fieldErrs = append(fieldErrs, err...)
	}
	logs.validate(&fieldErrs)
	if err := fieldErrs.Err(); err != nil {
		return settingsUsageError("serve", err)
	}
	lines := &logio.Writer{
		Out:   os.Stderr,
		Lines: logBufferLines,
	}
	defer lines.Flush(flushTimeout)
	logger := logs.logger(lines)
	go func() {
		for range hangups {
			logger.Info().Msg("entry: SIGHUP has no effect; settings change at a restart")
		}
	}()
	in := &daemon.Instance{
		Settings: s,
		Log:      logger,
	}
	if err := in.Start(ctx); err != nil {
		return err
	}
	<-ctx.Done()
	return in.Stop(context.WithoutCancel(ctx))
}

// goMemoryRatio is the ratio of the Go memory limit to the memory of the process.
const goMemoryRatio = 0.7

// defaultMemory returns the memory of a process whose Go memory limit is set in the environment, or the default.
func defaultMemory() int64 {
	if limit := debug.SetMemoryLimit(-1); limit < math.MaxInt64 {
		return int64(float64(limit) / goMemoryRatio)
	}
	return daemon.DefaultMemoryBytes
}

// limitVars registers the flags of limits.
func limitVars(fs *flag.FlagSet, s *daemon.Settings) {
	fs.IntVar(&s.MaxBodyBytes, "max-body", daemon.DefaultMaxBodyBytes, "largest request body of a caller, in bytes")
	fs.Int64Var(&s.MemoryBytes, "memory", defaultMemory(), "memory that the process may use, in bytes")
	fs.DurationVar(&s.WriteTimeout, "write-timeout", daemon.DefaultWriteTimeout, "limit for one write to a caller that does not read")
	fs.DurationVar(&s.ShutdownTimeout, "shutdown-timeout", daemon.DefaultShutdownTimeout, "limit for running requests at shutdown")
}
