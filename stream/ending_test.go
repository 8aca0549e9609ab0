package stream

import (
	"io"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

var errReset = errors.New("connection reset")

// allEndings calls f with each combination of what is known about the end of a body.
func allEndings(f func(Ending)) {
	flags := []bool{false, true}
	for _, framing := range []Framing{0, FramedByLength, FramedByChunks, FramedByClose} {
		for _, err := range []error{io.EOF, io.ErrUnexpectedEOF, errReset, ErrRepeated, ErrEventTooLarge, nil} {
			for _, events := range []int{0, 2} {
				for _, earlier := range []int{0, 2} {
					for _, hasEvents := range flags {
						for _, unfinished := range flags {
							for _, due := range flags {
								for _, ended := range flags {
									f(Ending{
										Framing:       framing,
										Err:           err,
										HasEvents:     hasEvents,
										Events:        events,
										EarlierEvents: earlier,
										Unfinished:    unfinished,
										EventDue:      due,
										SenderEnded:   ended,
									})
								}
							}
						}
					}
				}
			}
		}
	}
}

// Guards against an ending that is taken for complete without evidence, in any combination, and
// against a whole body that is not.
func TestEveryEndingIsJudged(t *testing.T) {
	const length, chunks, closes = FramedByLength, FramedByChunks, FramedByClose
	// complete lists all endings that are complete, apart from what does not matter to them.
	complete := func(e Ending) bool {
		stated := e.Framing == length || e.Framing == chunks
		switch {
		case e.Err != io.EOF:
			return false
		case !stated && e.SenderEnded:
			return false
		case !e.HasEvents:
			return true
		case e.Unfinished:
			return false
		case e.Events > 0:
			return true
		}
		// A resumed run that states its end and owes nothing.
		return stated && e.EarlierEvents > 0 && !e.EventDue
	}
	n := 0
	allEndings(func(e Ending) {
		n++
		_, ok := Judge(e).(Complete)
		require.Equal(t, complete(e), ok, "%+v", e)
		alive := e
		alive.SenderEnded = false
		if complete(alive) && (e.Framing == closes || e.Framing == 0) {
			require.True(t, e.SenderEnded || e.DependsOnSender(), "%+v", e)
		} else {
			require.False(t, e.DependsOnSender(), "%+v", e)
		}
	})
	require.Equal(t, 4*6*2*2*16, n)
}

// Guards against an ending that is complete although less is known for it: with more missing, a
// broken-off body must stay one.
func TestMissingEvidenceNeverCompletes(t *testing.T) {
	allEndings(func(e Ending) {
		if _, ok := Judge(e).(Complete); ok {
			return
		}
		for _, worse := range []func(*Ending){
			func(w *Ending) { w.SenderEnded = true },
			func(w *Ending) { w.Unfinished = true },
			func(w *Ending) { w.EventDue = true },
			func(w *Ending) { w.Framing = FramedByClose },
			func(w *Ending) { w.Err = errReset },
			func(w *Ending) { w.Events = 0 },
		} {
			w := e
			worse(&w)
			require.IsType(t, BrokenOff{}, Judge(w), "%+v, from %+v", w, e)
		}
	})
}
