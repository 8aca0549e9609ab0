package main

import (
	"flag"
	"io"
	"net/netip"
	"strings"

	"github.com/peterbourgon/ff/v3"
	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"currantstile/model"
)

const envPrefix = "CURRANTSTILE"

// newFlags returns a flag set without output of its own; callers report its errors.
func newFlags(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	return fs
}

// parseFlags reads flags and the environment. Every error it returns is a usageError.
func parseFlags(fs *flag.FlagSet, args []string) error {
	err := ff.Parse(fs, args, ff.WithEnvVarPrefix(envPrefix))
	if errors.Is(err, flag.ErrHelp) {
		return &usageError{
			command: fs.Name(),
			message: "flags:\n" + flagDefaults(fs),
		}
	}
	if err != nil {
		return &usageError{
			command: fs.Name(),
			message: err.Error(),
		}
	}
	return nil
}

func flagDefaults(fs *flag.FlagSet) string {
	var b strings.Builder
	fs.SetOutput(&b)
	fs.PrintDefaults()
	fs.SetOutput(io.Discard)
	return b.String()
}

// parseNoArgs reads the flags of a command that takes no positional arguments.
func parseNoArgs(fs *flag.FlagSet, args []string) error {
	if err := parseFlags(fs, args); err != nil {
		return err
	}
	if fs.NArg() > 0 {
		return &usageError{
			command: fs.Name(),
			message: "unexpected argument " + fs.Arg(0),
		}
	}
	return nil
}

// addrValue is a flag.Value for an IP address with a port.
type addrValue struct {
	addr *netip.AddrPort
}

// String implements flag.Value.
func (v addrValue) String() string {
	if v.addr == nil || !v.addr.IsValid() {
		return ""
	}
	return v.addr.String()
}

// Set implements flag.Value.
func (v addrValue) Set(s string) error {
	addr, err := netip.ParseAddrPort(s)
	if err != nil {
		return errors.New("needs an IP address with a port, such as 127.0.0.1:8080")
	}
	*v.addr = addr
	return nil
}

func addrVar(fs *flag.FlagSet, addr *netip.AddrPort, name, usage string) {
	fs.Var(addrValue{
		addr: addr,
	}, name, usage)
}

// logFlags holds the level and the format of the log.
type logFlags struct {
	level  string
	format string
}

func (l *logFlags) register(fs *flag.FlagSet, level string) {
	fs.StringVar(&l.level, "log-level", level, "debug, info, warn or error")
	fs.StringVar(&l.format, "log-format", "console", "console or json")
}

// validate adds an error to errs for each invalid setting.
func (l logFlags) validate(errs *model.FieldErrors) {
	switch l.level {
	case "debug", "info", "warn", "error":
	default:
		errs.Add("log-level", "%q is not one of debug, info, warn, error", l.level)
	}
	if l.format != "console" && l.format != "json" {
		errs.Add("log-format", "%q is not one of console, json", l.format)
	}
}

// logger returns a logger with these settings that writes to w.
func (l logFlags) logger(w io.Writer) log.Logger {
	logger := log.Logger{
		Level: log.ParseLevel(l.level),
		Writer: &log.IOWriter{
			Writer: w,
		},
	}
	if l.format == "console" {
		logger.Writer = &log.ConsoleWriter{
			Writer: w,
		}
	}
	return logger
}

// settingsUsageError turns field errors into one usageError with a line for each field, and
// returns any other error unchanged.
func settingsUsageError(name string, err error) error {
	var fields model.FieldErrors
	if !errors.As(err, &fields) {
		return err
	}
	lines := make([]string, 0, len(fields))
	for _, f := range fields {
		lines = append(lines, "-"+f.Path+": "+f.Message)
	}
	return &usageError{
		command: name,
		message: strings.Join(lines, "\n"),
	}
}
