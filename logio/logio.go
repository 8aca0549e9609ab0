// Package logio writes the lines of a log in the background. A slow reader of the log never
// blocks the process: lines that do not fit into the buffer are dropped and counted.
//
// # Usage
//
//	w := &logio.Writer{Out: os.Stdout, Lines: 4096}
//	logger := log.Logger{Writer: log.IOWriter{Writer: w}}
//	defer w.Flush(200 * time.Millisecond)
package logio

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Writer is an io.Writer of whole lines. Its exported fields must be set before the first Write.
type Writer struct {
	Out io.Writer
	// Lines is how many lines are buffered.
	Lines int

	once    sync.Once
	lines   chan entry
	dropped atomic.Int64
}

// entry is one of the lines in the buffer, or the end of a Flush.
type entry struct {
	line []byte
	// flushed is closed when all lines before the entry are written; nil for a line.
	flushed chan struct{}
}

func (w *Writer) start() {
	w.lines = make(chan entry, w.Lines)
	go w.run()
}

func (w *Writer) run() {
	for e := range w.lines {
		if n := w.dropped.Swap(0); n > 0 {
			w.print(fmt.Appendf(nil, "{\"level\":\"warn\",\"lines\":%d,\"message\":\"log: lines dropped, the reader is too slow\"}\n", n))
		}
		if e.flushed != nil {
			close(e.flushed)
			continue
		}
		w.print(e.line)
	}
}

func (w *Writer) print(line []byte) {
	// There is no other place to report that the log cannot be written.
	_, _ = w.Out.Write(line)
}

// Write buffers a copy of a line, or drops it if the buffer is full. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.once.Do(w.start)
	select {
	case w.lines <- entry{line: slices.Clone(line)}:
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Flush waits until all lines that were buffered before are written, but no longer than timeout,
// and reports whether they are.
func (w *Writer) Flush(timeout time.Duration) bool {
	w.once.Do(w.start)
	flushed := make(chan struct{})
	expired := time.After(timeout)
	select {
	case w.lines <- entry{flushed: flushed}:
	case <-expired:
		return false
	}
	select {
	case <-flushed:
		return true
	case <-expired:
		return false
	}
}
