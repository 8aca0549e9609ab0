// Command currantstile runs the instances of the serving layer and the
// operators' commands.
//
// # Usage
//
//	currantstile help
//	currantstile help COMMAND
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"

	"github.com/pkg/errors"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// command describes one subcommand.
type command struct {
	name    string
	summary string
	usage   string
	run     func(ctx context.Context, args []string, out, errOut io.Writer) error
}

// commands returns all commands in the order in which help shows them.
func commands() []command {
	return slices.Concat(instanceCommands(), operatorCommands(), trialCommands())
}

// instanceCommands returns the commands that run an instance or read the logs of instances.
func instanceCommands() []command {
	return []command{
		{
			name:    "serve",
			summary: "run one instance",
			usage:   usageServe,
			run:     runServe,
		},
		{
			name:    "node",
			summary: "run one instance on the users' platform",
			usage:   usageNode,
			run:     runNode,
		},
		{
			name:    "explain",
			summary: "show the log lines about a request",
			usage:   usageExplain,
			run:     runExplain,
		},
	}
}

// operatorCommands returns the commands for operators.
func operatorCommands() []command {
	return []command{
		{
			name:    "contract",
			summary: "list, show, apply and remove contracts",
			usage:   usageContract,
			run:     runContract,
		},
		{
			name:    "key",
			summary: "issue, withdraw and list callers' keys",
			usage:   usageKey,
			run:     runKey,
		},
		{
			name:    "zone",
			summary: "take data centres out of service and back",
			usage:   usageZone,
			run:     runZone,
		},
		{
			name:    "instance",
			summary: "take instances out of service and back",
			usage:   usageInstance,
			run:     runInstance,
		},
		{
			name:    "target",
			summary: "take targets out of service and back",
			usage:   usageTarget,
			run:     runTarget,
		},
		{
			name:    "adapter",
			summary: "list the adapters on targets",
			usage:   usageAdapter,
			run:     runAdapter,
		},
		{
			name:    "report",
			summary: "print a short report, narrow enough for a phone",
			usage:   usageReport,
			run:     runReport,
		},
		{
			name:    "status",
			summary: "show the state and revision of each instance",
			usage:   usageStatus,
			run:     runStatus,
		},
	}
}

// trialCommands returns the commands for experiments and stand-ins.
func trialCommands() []command {
	return []command{
		{
			name:    "replay",
			summary: "compare policies by patterns of load in simulated time",
			usage:   usageReplay,
			run:     runReplay,
		},
		{
			name:    "trial",
			summary: "play days of misbehaviour and judge every rule",
			usage:   usageTrial,
			run:     runTrial,
		},
		{
			name:    "load",
			summary: "run an experiment against a fleet",
			usage:   usageLoad,
			run:     runLoad,
		},
		{
			name:    "demo",
			summary: "run a complete fleet in one process",
			usage:   usageDemo,
			run:     runDemo,
		},
		{
			name:    "standin",
			summary: "run a stand-in for the platform or a target",
			usage:   usageStandin,
			run:     runStandin,
		},
		{
			name:    "version",
			summary: "print the version",
			usage:   usageVersion,
			run:     runVersion,
		},
	}
}

// usageError reports a command line or settings that the user has to correct. The process
// exits with exitUsage.
type usageError struct {
	command string
	message string
}

// Error implements error.
func (e *usageError) Error() string {
	return e.message
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run executes one command line, without the program's name, and returns the exit code.
func run(args []string, out, errOut io.Writer) int {
	if len(args) == 0 {
		printCommands(errOut)
		return exitUsage
	}
	name, args := args[0], args[1:]
	if name == "help" || name == "-h" || name == "-help" || name == "--help" {
		return help(args, out, errOut)
	}
	for _, c := range commands() {
		if c.name == name {
			return c.execute(args, out, errOut)
		}
	}
	fmt.Fprintf(errOut, "currantstile: there is no command %q\n\n", name)
	printCommands(errOut)
	return exitUsage
}

func (c command) execute(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	err := c.run(ctx, args, out, errOut)
	var usage *usageError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage):
		fmt.Fprintf(errOut, "currantstile %s: %s\nSee: currantstile help %s\n", c.name, usage.message, c.name)
		return exitUsage
	default:
		fmt.Fprintf(errOut, "currantstile %s: %s\n", c.name, err)
		return exitFailed
	}
}

func help(args []string, out, errOut io.Writer) int {
	if len(args) == 0 {
		printCommands(out)
		return exitOK
	}
	for _, c := range commands() {
		if c.name == args[0] {
			fmt.Fprintln(out, strings.TrimSpace(c.usage))
			return exitOK
		}
	}
	fmt.Fprintf(errOut, "currantstile help: there is no command %q\n", args[0])
	return exitUsage
}

func printCommands(w io.Writer) {
	fmt.Fprint(w, "currantstile serves very many LoRA adapters on one shared base model.\n\nCommands:\n")
	for _, c := range commands() {
		fmt.Fprintf(w, "  %-9s %s\n", c.name, c.summary)
	}
	fmt.Fprint(w, "\nEvery flag can be set in the environment: -data-centre is CURRANTSTILE_DATA_CENTRE.\nMore: currantstile help COMMAND\n")
}
