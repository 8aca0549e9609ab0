package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantstile/demo"
	"currantstile/itest"
)

func TestRunUsage(t *testing.T) {
	tests := []struct {
		args   string
		code   int
		errOut []string
	}{
		{
			args:   "",
			code:   exitUsage,
			errOut: []string{"Commands:"},
		},
		{
			args: "help",
			code: exitOK,
		},
		{
			args:   "help nothing",
			code:   exitUsage,
			errOut: []string{`no command "nothing"`},
		},
		{
			args:   "nothing",
			code:   exitUsage,
			errOut: []string{`no command "nothing"`},
		},
		{
			args:   "serve -unknown",
			code:   exitUsage,
			errOut: []string{"-unknown"},
		},
		{
			args:   "serve -id A -callers localhost:1",
			code:   exitUsage,
			errOut: []string{"callers", "IP address"},
		},
		{
			args:   "serve -id A -max-body -1 -log-level loud -quota none",
			code:   exitUsage,
			errOut: []string{"-id:", "-data-centre:", "-callers:", "-operators:", "-peers:", "-store:", "-members:", "-max-body:", "-log-level:", "-quota:"},
		},
		{
			args:   "demo -user nobody -log-format xml",
			code:   exitUsage,
			errOut: []string{"-user:", "-log-format:"},
		},
		{
			args:   "load -scenario nothing -user nobody -time -1s",
			code:   exitUsage,
			errOut: []string{"-scenario:", "-user:", "-time:"},
		},
		{
			args:   "zone",
			code:   exitUsage,
			errOut: []string{"out, back, list"},
		},
		{
			args:   "zone out",
			code:   exitUsage,
			errOut: []string{"NAME"},
		},
		{
			args:   "zone out -operator ftp://x buchs",
			code:   exitUsage,
			errOut: []string{"-operator:"},
		},
		{
			args:   "zone out -operator http://127.0.0.1:1 buchs",
			code:   exitFailed,
			errOut: []string{"127.0.0.1:1", "not sent"},
		},
		{
			args:   "standin engine extra",
			code:   exitUsage,
			errOut: []string{"extra"},
		},
		{
			args:   "version now",
			code:   exitUsage,
			errOut: []string{"now"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.args, func(t *testing.T) {
			var out, errOut bytes.Buffer
			require.Equal(t, tt.code, run(strings.Fields(tt.args), &out, &errOut), "%s", errOut.String())
			for _, want := range tt.errOut {
				require.Contains(t, errOut.String(), want)
			}
		})
	}
}

// Guards against a command whose help lacks an example or names another command.
func TestHelp(t *testing.T) {
	for _, c := range commands() {
		var out, errOut bytes.Buffer
		require.Equal(t, exitOK, run([]string{"help", c.name}, &out, &errOut))
		require.Contains(t, out.String(), "Example:", c.name)
		require.Contains(t, out.String(), "currantstile "+c.name)
	}
}

// Guards against flags that are not read from the environment: serve must report the missing
// -id, but not -data-centre, which is set there.
func TestSettingsFromEnvironment(t *testing.T) {
	t.Setenv("CURRANTSTILE_DATA_CENTRE", "buchs")
	var out, errOut bytes.Buffer
	require.Equal(t, exitUsage, run([]string{"serve"}, &out, &errOut))
	require.NotContains(t, errOut.String(), "-data-centre:")
	require.Contains(t, errOut.String(), "-id:")
}

// Runs the operators' commands in order against one running fleet, including invalid contracts,
// conflicts and unknown names.
func TestOperatorCommands(t *testing.T) {
	f := itest.StartFleet(t, itest.SmallProfile())
	t.Setenv("CURRANTSTILE_OPERATOR", f.Info().Operators[1])
	bad := t.TempDir() + "/bad.json"
	require.NoError(t, os.WriteFile(bad, []byte(`{"organisation":"alpha","rate":0,"burst":0,"colour":1}`), 0o600))
	faulty := t.TempDir() + "/faulty.json"
	require.NoError(t, os.WriteFile(faulty, []byte(`{"organisation":"alpha","rate":0,"burst":0}`), 0o600))
	good := t.TempDir() + "/good.json"
	require.NoError(t, os.WriteFile(good, []byte(`{"organisation":"gamma","rate":10,"burst":20}`), 0o600))
	tests := []struct {
		args string
		code int
		want string
	}{
		{
			args: "contract list",
			code: exitOK,
			want: "alpha",
		},
		{
			args: "contract show alpha",
			code: exitOK,
			want: `"rate": 100000`,
		},
		{
			args: "contract show nobody",
			code: exitFailed,
			want: "no contract",
		},
		{
			args: "contract apply " + bad,
			code: exitFailed,
			want: "colour",
		},
		{
			args: "contract apply " + faulty,
			code: exitFailed,
			want: "burst",
		},
		{
			args: "contract apply -wait 5s " + good,
			code: exitOK,
			want: "in force at all 2 instances",
		},
		{
			args: "contract apply -base 1 " + good,
			code: exitFailed,
			want: "conflict",
		},
		{
			args: "contract remove -wait 5s gamma",
			code: exitOK,
			want: "accepted as revision",
		},
		{
			args: "contract remove gamma",
			code: exitFailed,
			want: "no contract",
		},
		{
			args: "contract history",
			code: exitOK,
			want: "contract gamma removed",
		},
		{
			args: "key issue -wait 5s alpha",
			code: exitOK,
			want: "ctk.alpha.",
		},
		{
			args: "key withdraw " + f.Keys["alpha"],
			code: exitOK,
			want: "accepted",
		},
		{
			args: "key withdraw " + f.Keys["alpha"],
			code: exitFailed,
			want: "no such key",
		},
		{
			args: "key withdraw x",
			code: exitUsage,
			want: "malformed",
		},
		{
			args: "zone out -wait 5s east",
			code: exitOK,
			want: "in force at all",
		},
		{
			args: "zone out west",
			code: exitFailed,
			want: "-force",
		},
		{
			args: "zone list",
			code: exitOK,
			want: "out by",
		},
		{
			args: "zone back -wait 5s east",
			code: exitOK,
			want: "in force",
		},
		{
			args: "target out nowhere",
			code: exitFailed,
			want: "lists no such",
		},
		{
			args: "instance list",
			code: exitOK,
			want: "entry-1",
		},
		{
			args: "adapter list",
			code: exitOK,
		},
		{
			args: "report",
			code: exitOK,
			want: "configuration in force everywhere",
		},
		{
			args: "status -json",
			code: exitOK,
			want: `"instances"`,
		},
	}
	for _, tt := range tests {
		var out, errOut bytes.Buffer
		code := run(strings.Fields(tt.args), &out, &errOut)
		require.Equal(t, tt.code, code, "%s: %s%s", tt.args, out.String(), errOut.String())
		require.Contains(t, out.String()+errOut.String(), tt.want, tt.args)
	}
}

// Guards against unauthenticated access: with a token set, an operator who presents none or a
// wrong one can neither read the contracts nor issue a key.
func TestOperatorToken(t *testing.T) {
	f := &demo.Fleet{
		Profile:       itest.SmallProfile(),
		Seed:          1,
		OperatorToken: "night-train",
	}
	require.NoError(t, f.Start(context.Background()))
	t.Cleanup(func() {
		require.NoError(t, f.Stop(context.Background()))
	})
	t.Setenv("CURRANTSTILE_OPERATOR", f.Info().Operators[0])
	for token, want := range map[string]int{"": exitFailed, "day-train": exitFailed, "night-train": exitOK} {
		t.Setenv("CURRANTSTILE_OPERATOR_TOKEN", token)
		var out bytes.Buffer
		require.Equal(t, want, run([]string{"contract", "list"}, &out, &out), "%s", out.String())
		require.Equal(t, want, run([]string{"key", "issue", "alpha"}, &out, &out))
		require.Equal(t, want == exitOK, strings.Contains(out.String(), "ctk."))
	}
}

// Guards against a demo whose output is not enough to send a first request: it must print one
// line of JSON with all addresses, keys and samples, and exit with code 0 on SIGTERM.
func TestDemo(t *testing.T) {
	// Without a handler, a signal that comes before the demo has installed its own would end
	// the test process.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGTERM)
	out := &firstLineWriter{
		line: make(chan string, 1),
	}
	var errOut bytes.Buffer
	code := make(chan int, 1)
	go func() {
		code <- run([]string{"demo", "-user", "pinebluff"}, out, &errOut)
	}()
	var ready demo.FleetInfo
	require.NoError(t, json.Unmarshal([]byte(<-out.line), &ready))
	require.Len(t, ready.Callers, 7)
	require.Len(t, ready.Operators, 7)
	require.Len(t, ready.Targets, 18)
	require.Len(t, ready.Services, 4)
	require.Len(t, ready.Keys, 5)
	require.Len(t, ready.Samples, 5)
	require.Equal(t, "/svc/bookings/", ready.Booking.Path)
	require.NoError(t, syscall.Kill(syscall.Getpid(), syscall.SIGTERM))
	select {
	case c := <-code:
		require.Equal(t, exitOK, c)
	case <-time.After(time.Minute):
		require.Fail(t, "the demo did not exit within a minute of SIGTERM")
	}
	require.Contains(t, errOut.String(), "curl ")
}

// firstLineWriter sends the first write to line and discards later ones while line is full.
type firstLineWriter struct {
	line chan string
}

// Write implements io.Writer.
func (w *firstLineWriter) Write(p []byte) (int, error) {
	select {
	case w.line <- string(p):
	default:
	}
	return len(p), nil
}
