package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"currantstile/model"
	"currantstile/rest"
	"currantstile/sims"
)

const usageStandin = `
currantstile standin store|engine|service|weights|instances -listen ADDR [flags]

Runs one stand-in for the platform or for a target, for tests and trials:

  store      key-value service with compare-and-swap, leases and watches
  engine     model engine; -weights ADDR is the weight store that it loads from
  service    plain service that counts the runs for each idempotency key
  weights    weight store
  instances  list of instances and targets; -file holds its JSON, or PUT /members

Each prints its address as one line on stdout once it accepts requests, answers
GET /received with the last requests that it received, and accepts POST /faults
to inject faults.

Flags:
  -listen ADDR   listen address (default 127.0.0.1:0, a free port)
  -name NAME     name of an engine or a service
  -seed N        random seed (default 1)
  -weights ADDR  weight store of an engine
  -slots N       adapters that fit on an engine (default 8)
  -bears N       requests that a target can run at once (default 32)
  -step-time T   duration of one step of an engine's batch (default 10ms)
  -step-per-request T  time that each request adds to a step (default 200us)
  -prefill-time T  time before an engine's first token (default 20ms)
  -file FILE     JSON file with the list of instances

Example:
  currantstile standin engine -name engine-1 -listen 127.0.0.1:9001
`

// standin is implemented by all stand-in servers.
type standin interface {
	Start() error
	Stop(ctx context.Context) error
	BoundAddr() netip.AddrPort
}

// standinFlags holds the flags of all stand-ins; each kind uses some of them.
type standinFlags struct {
	listen         netip.AddrPort
	weights        netip.AddrPort
	name           string
	file           string
	seed           uint64
	slots          int
	maxRequests    int
	stepTime       time.Duration
	prefillTime    time.Duration
	stepPerRequest time.Duration
}

func (f *standinFlags) register(fs *flag.FlagSet) {
	f.listen = netip.MustParseAddrPort("127.0.0.1:0")
	addrVar(fs, &f.listen, "listen", "listen address")
	addrVar(fs, &f.weights, "weights", "weight store of an engine")
	fs.StringVar(&f.name, "name", "standin", "name of an engine or a service")
	fs.StringVar(&f.file, "file", "", "JSON file with the list of instances")
	fs.Uint64Var(&f.seed, "seed", 1, "random seed")
	fs.IntVar(&f.slots, "slots", 8, "adapters that fit on an engine")
	fs.DurationVar(&f.stepTime, "step-time", 0, "duration of one step of an engine's batch")
	fs.DurationVar(&f.stepPerRequest, "step-per-request", 0, "time that each request adds to a step")
	fs.DurationVar(&f.prefillTime, "prefill-time", 0, "time before an engine's first token")
	fs.IntVar(&f.maxRequests, "bears", 32, "requests that a target can run at once")
}

func runStandin(ctx context.Context, args []string, out, _ io.Writer) error {
	if len(args) == 0 {
		return &usageError{
			command: "standin",
			message: "needs one of store, engine, service, weights, instances",
		}
	}
	var f standinFlags
	fs := newFlags("standin")
	f.register(fs)
	if err := parseNoArgs(fs, args[1:]); err != nil {
		return err
	}
	s, err := f.newServer(args[0])
	if err != nil {
		return err
	}
	if err := s.Start(); err != nil {
		return err
	}
	fmt.Fprintln(out, s.BoundAddr())
	<-ctx.Done()
	return s.Stop(context.WithoutCancel(ctx))
}

func (f *standinFlags) newServer(kind string) (standin, error) {
	switch kind {
	case "store":
		return &sims.StoreServer{
			Addr: f.listen,
			Seed: f.seed,
		}, nil
	case "engine":
		return &sims.EngineServer{
			Addr:    f.listen,
			Name:    f.name,
			Seed:    f.seed,
			Weights: f.weights,
			HTTP:    rest.NewClient(time.Second, 8),
			Settings: sims.EngineSettings{
				Slots:          f.slots,
				MaxConcurrent:  f.maxRequests,
				StepTime:       f.stepTime,
				StepPerRequest: f.stepPerRequest,
				PrefillTime:    f.prefillTime,
			},
		}, nil
	case "service":
		return &sims.ServiceServer{
			Addr:          f.listen,
			Name:          f.name,
			Seed:          f.seed,
			MaxConcurrent: f.maxRequests,
		}, nil
	case "weights":
		return &sims.WeightsServer{
			Addr: f.listen,
			Seed: f.seed,
		}, nil
	case "instances":
		return f.newMembersServer()
	default:
		return nil, &usageError{
			command: "standin",
			message: "unknown stand-in " + kind,
		}
	}
}

func (f *standinFlags) newMembersServer() (standin, error) {
	s := &sims.MembersServer{
		Addr: f.listen,
		Seed: f.seed,
	}
	if f.file == "" {
		return s, nil
	}
	text, err := os.ReadFile(f.file)
	if err != nil {
		return nil, err
	}
	if err := model.DecodeStrict(text, &s.Initial); err != nil {
		return nil, err
	}
	for _, m := range s.Initial {
		if err := m.Validate(); err != nil {
			return nil, err
		}
	}
	return s, nil
}
