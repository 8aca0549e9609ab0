package main

import (
	"os"
	"os/signal"
	"syscall"
)

// ignoreBrokenPipe lets writes to a standard output that nobody reads fail instead of ending the
// process.
func ignoreBrokenPipe() {
	signal.Ignore(syscall.SIGPIPE)
}

// catchHangups returns a channel that receives each SIGHUP until the process ends. A process that
// stops still owes answers, so the default action, which ends it at once, is never restored.
func catchHangups() <-chan os.Signal {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	return hup
}
