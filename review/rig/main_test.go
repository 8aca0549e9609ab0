//go:build review

package rig

import (
	"bufio"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRun ends a case that hangs.
const maxRun = 112 * time.Second

// cases are the scripted cases: each reports whether the rule held. With trouble unset, it leaves the
// disruption out.
var cases = map[string]func(r *rig, trouble bool) (held bool, err error){
	"scale-out": runScaleOut,
	"bodies":    runBodies,
	"forget":    runForget,
}

func TestMain(*testing.M) {
	flag.Parse()
	os.Exit(run(flag.Arg(0), flag.Arg(1)))
}

// run runs a case and writes its record to a folder.
func run(name, folder string) int {
	f, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return exitNotRun
	}
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	record := bufio.NewWriter(out)
	r, err := newRig(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
		case <-time.After(maxRun):
		}
		r.close()
		r.mu.Lock()
		_ = record.Flush()
		os.Exit(exitNotRun)
	}()
	held, err := f(r, os.Getenv("TROUBLE") != "0")
	if dir := os.Getenv("KEEP_LOGS"); dir != "" {
		_ = os.CopyFS(dir, os.DirFS(r.dir))
	}
	r.close()
	result, code := "the rule held", exitHeld
	switch {
	case err != nil:
		result, code = "could not run: "+err.Error(), exitNotRun
	case !held:
		result, code = "the rule was broken", exitBroken
	}
	r.note("%s", result)
	fmt.Println(result)
	if err := record.Flush(); err != nil {
		return exitNotRun
	}
	_ = out.Close()
	return code
}
