package logio

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"
)

// gatedWriter blocks writes until open is closed.
type gatedWriter struct {
	open chan struct{}
	mu   sync.Mutex
	out  bytes.Buffer
}

func (g *gatedWriter) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.out.Write(p)
}

func (g *gatedWriter) text() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.out.String()
}

// Guards against last lines that are lost because the process ends before they are written.
func TestFlushWritesAllLines(t *testing.T) {
	g := &gatedWriter{
		open: make(chan struct{}),
	}
	w := &Writer{
		Out:   g,
		Lines: 100,
	}
	l := log.Logger{
		Writer: log.IOWriter{
			Writer: w,
		},
	}
	for i := range 100 {
		l.Info().Int("line", i).Msg("x")
	}
	require.False(t, w.Flush(0), "the reader has read nothing")
	close(g.open)
	require.True(t, w.Flush(time.Minute))
	require.Equal(t, 100, strings.Count(g.text(), "\n"))
}

// Guards against a process that waits for the reader of its log.
func TestSlowReaderBlocksNothing(t *testing.T) {
	g := &gatedWriter{
		open: make(chan struct{}),
	}
	w := &Writer{
		Out:   g,
		Lines: 10,
	}
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for j := range 100 {
				n, err := fmt.Fprintf(w, "%d-%d\n", i, j)
				require.NoError(t, err)
				require.Positive(t, n)
			}
		})
	}
	wg.Wait()
	close(g.open)
	require.True(t, w.Flush(time.Minute))
	dropped := strings.Count(g.text(), "lines dropped")
	require.LessOrEqual(t, strings.Count(g.text(), "\n")-dropped, 11, "the buffer and the line being written")
	require.Contains(t, g.text(), "lines dropped")
}
