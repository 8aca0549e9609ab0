package main

import (
	"context"
	"io"
	"os"
	"strings"
	"time"

	"github.com/phuslu/log"

	"currantstile/logio"
	"currantstile/memory"
	"currantstile/model"
	"currantstile/node"
	"currantstile/origin"
	"currantstile/platform"
	"currantstile/rest"
	"currantstile/socket"
)

const usageNode = `
currantstile node [-settings FILE] [-log-level LEVEL]

Runs one instance on the users' platform until SIGINT or SIGTERM, then stops
within the platform's grace period. It keeps no state on its machine: everything
that must last is in the platform's store.

  -settings FILE      the platform's settings file (default: the value of
                      ` + platform.SettingsVariable + `)
  -log-level LEVEL    debug, info, warn or error (default info)

The log goes to standard output, one JSON object per line. On SIGHUP the settings
file is read again and its errors are logged; addresses change only at a restart.

Example:
  currantstile node -settings local.yaml
`

const (
	// logBufferLines is how many log lines are buffered while the reader of standard output
	// is slow; further lines are dropped.
	logBufferLines = 4096
	// flushTimeout bounds how long the end of the process waits for the reader of its log.
	flushTimeout = 200 * time.Millisecond
	// storeDialTimeout bounds the opening of a connection to the store, and storeIdleConns
	// is how many idle connections are kept.
	storeDialTimeout = 500 * time.Millisecond
	storeIdleConns   = 6
	// dutyDialTimeout and dutyIdleConns are the same for the platform's interface for singleton duties.
	dutyDialTimeout = 500 * time.Millisecond
	dutyIdleConns   = 2
)

func runNode(ctx context.Context, args []string, _, _ io.Writer) error {
	hangups := catchHangups()
	ignoreBrokenPipe()
	path, level := "", ""
	fs := newFlags("node")
	fs.StringVar(&path, "settings", os.Getenv(platform.SettingsVariable), "the platform's settings file")
	fs.StringVar(&level, "log-level", "info", "debug, info, warn or error")
	if err := parseNoArgs(fs, args); err != nil {
		return err
	}
	var fieldErrs model.FieldErrors
	logFlags{
		level:  level,
		format: "json",
	}.validate(&fieldErrs)
	if path == "" {
		fieldErrs.Add("settings", "no settings file given, and %s is not set", platform.SettingsVariable)
	}
	if err := fieldErrs.Err(); err != nil {
		return settingsUsageError("node", err)
	}
	s, err := platform.ReadSettings(path)
	if err != nil {
		return &usageError{
			command: "node",
			message: "invalid settings file " + path + ":\n" + strings.ReplaceAll(err.Error(), "; ", "\n"),
		}
	}
	lines := &logio.Writer{
		Out:   os.Stdout,
		Lines: logBufferLines,
	}
	defer lines.Flush(flushTimeout)
	logger := log.Logger{
		Level: log.ParseLevel(level),
		Writer: &log.IOWriter{
			Writer: lines,
		},
	}
	go checkSettings(hangups, path, logger)
	n := newNode(s, nil, logger)
	if err := n.Start(ctx); err != nil {
		return err
	}
	<-ctx.Done()
	logger.Info().Msg("node: told to stop")
	n.Stop()
	return nil
}

// newNode returns an instance on the platform in a network; nil is the operating system's.
func newNode(s node.Settings, network socket.Network, logger log.Logger) *node.Node {
	conns := &origin.Pool{
		Network: network,
	}
	budget := memory.NewBudget(s.MemoryBytes)
	client := rest.NewClientIn(network, storeDialTimeout, storeIdleConns)
	client.Answers = budget.State
	n := &node.Node{
		Settings: s,
		Budget:   budget,
		KV: &platform.Store{
			Addr: s.Store,
			HTTP: client,
		},
		Sources: platform.Sources{},
		Codec:   platform.Codec{},
		Orders: &platform.Orders{
			Conns: conns,
		},
		Conns:   conns,
		Network: network,
		Log:     logger,
	}
	if s.Duties.Enabled() {
		calls := rest.NewClientIn(network, dutyDialTimeout, dutyIdleConns)
		calls.Answers = budget.State
		n.DutyClient = &platform.Duties{
			Addr: s.Duties.Addr,
			HTTP: calls,
		}
	}
	return n
}

// checkSettings reads the settings file at each signal and logs its errors; the settings in use do
// not change.
func checkSettings(hangups <-chan os.Signal, path string, logger log.Logger) {
	for range hangups {
		_, err := platform.ReadSettings(path)
		logger.Info().Err(err).Msg("node: settings file checked after SIGHUP")
	}
}
