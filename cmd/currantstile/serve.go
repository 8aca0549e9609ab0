package main

import (
	"context"
	"io"

	"currantstile/daemon"
	"currantstile/model"
)

const usageServe = `
currantstile serve -id NAME -data-centre NAME -callers ADDR -operators ADDR -peers ADDR -store ADDR -members ADDR

Runs one instance until SIGINT or SIGTERM, then shuts down gracefully: new
requests are refused, running ones go on up to -shutdown-timeout. A second
signal ends the process at once.

Flags:
  -id NAME                 name of this instance
  -data-centre NAME        data centre of this instance
  -callers ADDR            where callers' requests are taken
  -operators ADDR          where operators' requests are taken
  -peers ADDR              where other instances call
  -peers-advertised ADDR   where other instances reach -peers, if it differs
  -store ADDR              the platform's key-value service
  -members ADDR            the platform's list of instances
  -quota MODE              lend, or split or local for comparison (default lend)
  -operator-token TEXT     what operators present; without one anybody may who
                           reaches -operators (better set in the environment)
  -fleet-secret TEXT       what instances prove to one another; without one anybody
                           may call who reaches -peers
  -alone-limit TIME        how long an instance that reaches neither the store
                           nor another instance goes on admitting (default 10s)
  -max-body BYTES          largest request of a caller (default 4194304)
  -write-timeout TIME      for one write to a caller that does not read (default 10s)
  -shutdown-timeout TIME   for running requests at a shutdown (default 1m30s)
  -log-level LEVEL         debug, info, warn or error (default info)
  -log-format FORMAT       console or json (default console)

ADDR is an IP address with a port. Every flag can be set in the environment, as
in CURRANTSTILE_DATA_CENTRE=buchs.

Example:
  currantstile serve -id entry-0 -data-centre buchs -callers 10.0.0.5:8080 \
    -operators 10.0.0.5:8081 -peers 10.0.0.5:8082 -store 10.0.0.2:2380 -members 10.0.0.2:2381
`

func runServe(ctx context.Context, args []string, _, _ io.Writer) error {
	var s daemon.Settings
	var logs logFlags
	fs := newFlags("serve")
	fs.StringVar((*string)(&s.ID), "id", "", "name of this instance")
	fs.StringVar((*string)(&s.Zone), "data-centre", "", "data centre of this instance")
	addrVar(fs, &s.CallersAddr, "callers", "where callers' requests are taken")
	addrVar(fs, &s.OperatorsAddr, "operators", "where operators' requests are taken")
	addrVar(fs, &s.PeersAddr, "peers", "where other instances call")
	addrVar(fs, &s.PeersAdvertised, "peers-advertised", "where other instances reach -peers, if it differs")
	addrVar(fs, &s.StoreAddr, "store", "the platform's key-value service")
	addrVar(fs, &s.MembersAddr, "members", "the platform's list of instances")
	fs.StringVar((*string)(&s.Quota), "quota", string(daemon.QuotaLend), "lend, split or local")
	fs.StringVar(&s.OperatorToken, "operator-token", "", "what operators present")
	fs.StringVar(&s.FleetSecret, "fleet-secret", "", "what instances prove to one another")
	fs.DurationVar(&s.IsolationLimit, "alone-limit", daemon.DefaultIsolationLimit, "how long an instance that reaches nobody goes on admitting")
	fs.IntVar(&s.MaxBodyBytes, "max-body", daemon.DefaultMaxBodyBytes, "largest request of a caller, in bytes")
	fs.DurationVar(&s.WriteTimeout, "write-timeout", daemon.DefaultWriteTimeout, "for one write to a caller that does not read")
	fs.DurationVar(&s.ShutdownTimeout, "shutdown-timeout", daemon.DefaultShutdownTimeout, "for running requests at a shutdown")
	logs.register(fs, "info")
	if err := parseNoArgs(fs, args); err != nil {
		return err
	}
	var faults model.FieldErrors
	if err, ok := s.Validate().(model.FieldErrors); ok {
		faults = append(faults, err...)
	}
	logs.validate(&faults)
	if err := faults.Err(); err != nil {
		return settingsUsageError("serve", err)
	}
	in := &daemon.Instance{
		Settings: s,
		Log:      logs.logger(),
	}
	if err := in.Start(ctx); err != nil {
		return err
	}
	<-ctx.Done()
	return in.Stop(context.WithoutCancel(ctx))
}
