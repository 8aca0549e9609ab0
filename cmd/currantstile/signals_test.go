package main

import (
	"bufio"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantstile/platform/fake"
)

// signalTestGrace is the grace period of the instances whose stop is disturbed.
const signalTestGrace = 5 * time.Second

// platformNode is an instance on the emulated platform, in a process of its own.
type platformNode struct {
	cmd     *exec.Cmd
	stdout  io.ReadCloser
	callers netip.AddrPort
	worker  *fake.Worker
}

// startPlatformNode starts an instance and waits until it is ready. host is the last byte of its
// loopback address, which no other test uses.
func startPlatformNode(t *testing.T, program string, host byte) *platformNode {
	store := fake.NewStore(t)
	store.Write(fake.ConfigKey, fake.Config(fake.ConfigOptions{
		Version: 1,
		Keys:    `"k1"`,
		Rate:    100000,
	}))
	w := fake.NewWorker(t, "app-0")
	store.Write(fake.WorkerPrefix+w.ID, w.Entry("app", "ready", w.Addr()))
	ip := netip.AddrFrom4([4]byte{127, 31, byte(1 + os.Getpid()%250), host})
	ready := netip.AddrPortFrom(ip, 7501)
	n := &platformNode{
		callers: netip.AddrPortFrom(ip, 7500),
		worker:  w,
	}
	path := filepath.Join(t.TempDir(), "settings.yaml")
	require.NoError(t, os.WriteFile(path, fake.SettingsFile(fake.InstanceSettings{
		Name:          "entry-0",
		CallerAddr:    n.callers,
		ReadinessAddr: ready,
		PeerPort:      7502,
		StoreAddr:     store.Addr(),
		GracePeriod:   signalTestGrace,
	}), 0o600))
	n.cmd = exec.Command(program, "node", "-settings", path)
	n.cmd.Stderr = os.Stderr
	var err error
	n.stdout, err = n.cmd.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, n.cmd.Start())
	t.Cleanup(func() {
		// Fails if the process has exited.
		_ = n.cmd.Process.Kill()
		_ = n.cmd.Wait()
	})
	require.Eventually(t, func() bool {
		resp, err := http.Get("http://" + ready.String() + "/readiness")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}, 20*time.Second, 20*time.Millisecond)
	return n
}

// book sends a booking and returns its status, or 0 if there was no complete answer.
func (n *platformNode) book(t *testing.T, id string) int {
	req, err := fake.CallerRequest{
		ID:      id,
		Method:  http.MethodPost,
		Path:    "/book/1",
		Key:     "k1",
		Timeout: signalTestGrace,
	}.HTTPRequest(n.callers)
	require.NoError(t, err)
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.ReadAll(resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// receive returns what comes from a channel, and fails the test if nothing comes for longer than any
// request or stop takes.
func receive[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(4 * signalTestGrace):
		require.FailNow(t, "nothing happened")
		panic("unreachable")
	}
}

// Guards against a process that a signal ends while answers are owed.
func TestSignalsLoseNoAnswer(t *testing.T) {
	program := buildProgram(t)
	tests := []struct {
		name    string
		signals []syscall.Signal
	}{
		{
			name:    "SIGHUP while stopping",
			signals: []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP},
		},
		{
			name:    "SIGHUP before and while stopping",
			signals: []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGHUP},
		},
		{
			name:    "SIGTERM twice",
			signals: []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM},
		},
	}
	for i, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			n := startPlatformNode(t, program, byte(1+i))
			var log strings.Builder
			logged := make(chan struct{})
			go func() {
				defer close(logged)
				// The pipe ends with the process.
				_, _ = bufio.NewReader(n.stdout).WriteTo(&log)
			}()
			n.requireAnswer(t, tt.signals)
			receive(t, logged)
			require.Contains(t, log.String(), `"node: stopped"`)
			require.NoError(t, n.cmd.Wait())
		})
	}
}

// Guards against a process that ends, while answers are owed, because nobody reads its log.
func TestEndOfLogReaderLosesNoAnswer(t *testing.T) {
	n := startPlatformNode(t, buildProgram(t), 100)
	require.NoError(t, n.stdout.Close())
	n.requireAnswer(t, []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM})
	require.NoError(t, n.cmd.Wait())
}

// requireAnswer sends signals while a target runs a booking, and requires its answer.
func (n *platformNode) requireAnswer(t *testing.T, signals []syscall.Signal) {
	started, proceed := make(chan struct{}, 1), make(chan struct{})
	release := sync.OnceFunc(func() {
		close(proceed)
	})
	defer release()
	n.worker.SetHandler(func(w http.ResponseWriter, _ *http.Request) {
		started <- struct{}{}
		<-proceed
		fake.SetSignature(w)
		_, _ = io.WriteString(w, "booked")
	})
	status := make(chan int, 1)
	go func() {
		status <- n.book(t, "b1")
	}()
	receive(t, started)
	for _, s := range signals {
		require.NoError(t, n.cmd.Process.Signal(s))
		// Signals of one kind that are pending merge into one.
		time.Sleep(100 * time.Millisecond)
	}
	release()
	require.Equal(t, http.StatusOK, receive(t, status))
}

// Guards against an instance of the product's own path that a SIGHUP ends, or that waits for the reader
// of its log when it stops.
func TestServeOutlivesHangupsAndAStuckLog(t *testing.T) {
	program := buildProgram(t)
	store := startProcess(t, program, "standin", "store").readAddr(t)
	members := startProcess(t, program, "standin", "instances").readAddr(t)
	addr := func(port uint16) string {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 31, byte(1 + os.Getpid()%250), 200}), port).String()
	}
	read, write, err := os.Pipe()
	require.NoError(t, err)
	defer read.Close()
	cmd := exec.Command(program, "serve", "-id", "entry-0", "-data-centre", "east", "-callers", addr(7500), "-operators", addr(7501),
		"-peers", addr(7502), "-store", store.String(), "-members", members.String())
	cmd.Stderr = write
	// The pipe is full, so that each write to it waits.
	require.NoError(t, write.SetWriteDeadline(time.Now().Add(100*time.Millisecond)))
	_, err = write.Write(make([]byte, 1<<20))
	require.Error(t, err)
	require.NoError(t, cmd.Start())
	require.NoError(t, write.Close())
	exited := make(chan error, 1)
	go func() {
		exited <- cmd.Wait()
	}()
	t.Cleanup(func() {
		// Fails if the process has exited.
		_ = cmd.Process.Kill()
	})
	require.Eventually(t, func() bool {
		resp, err := http.Get("http://" + addr(7501) + "/status")
		if err != nil {
			return false
		}
		return resp.Body.Close() == nil
	}, 20*time.Second, 20*time.Millisecond)
	for range 3 {
		require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
		time.Sleep(100 * time.Millisecond)
	}
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(t, receive(t, exited))
}
