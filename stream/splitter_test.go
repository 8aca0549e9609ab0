package stream

import (
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestBlocksThatAreEvents(t *testing.T) {
	for _, c := range []struct {
		body   string
		events int
		id     string
	}{
		{
			body:   "id: 1\ndata: x\n\nid: 2\r\ndata: y\r\n\r\n",
			events: 2,
			id:     "2",
		},
		{
			body:   ": comment\n\n",
			events: 0,
		},
		{
			body:   "\n\n\r\n",
			events: 0,
		},
		{
			body:   "retry: 100\n\n",
			events: 0,
		},
		{
			body:   "data\n\n",
			events: 1,
		},
		{
			body:   "event: end\n\n: bye\n\n",
			events: 1,
		},
		{
			body:   "id: 1\ndata: id: 9\n\n",
			events: 1,
			id:     "1",
		},
	} {
		var s Splitter
		_, err := s.Add([]byte(c.body))
		require.NoError(t, err)
		require.Equal(t, c.events, s.Events(), "%q", c.body)
		id, _ := s.ResumeID()
		require.Equal(t, c.id, id, "%q", c.body)
	}
}

// Guards against a stream, cut at any byte in each of its runs, that is taken for complete or
// that is relayed with an event missing or twice.
func TestStreamCutAtAnyByteInEachRun(t *testing.T) {
	const events = 5
	event := func(i int) string {
		return fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
	}
	run := func(from int) string {
		var b strings.Builder
		for i := from + 1; i <= events; i++ {
			b.WriteString(event(i))
		}
		return b.String()
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for first := range len(run(0)) {
		var s Splitter
		var out strings.Builder
		cut := first
		for attempt := 0; ; attempt++ {
			s.BeginRun()
			id, ok := s.ResumeID()
			require.True(t, ok)
			from := 0
			_, _ = fmt.Sscan(id, &from)
			body := run(from)
			sent := body[:min(cut, len(body))]
			blocks, err := s.Add([]byte(sent))
			require.NoError(t, err)
			out.Write(blocks)
			// A cut between two events leaves no trace in the data.
			want := len(sent) > 0 && strings.HasSuffix(sent, "\n\n")
			_, complete := Judge(s.Ending(FramedByClose, true, io.EOF)).(Complete)
			require.Equal(t, want, complete, "first cut %d, attempt %d, cut %d: %q", first, attempt, cut, out.String())
			if complete {
				break
			}
			cut = rng.IntN(len(body) + 40)
		}
		require.True(t, strings.HasPrefix(run(0), out.String()), "%q", out.String())
	}
}

// Guards against bytes that get lost or are added when a stream is split, and against a result
// that depends on how its bytes arrive.
func FuzzSplitter(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\nid: 2\nda"), 3)
	f.Add([]byte("id: 1\r\ndata: x\r\n\r\n: end\r\n"), 1)
	f.Add([]byte("\n\n\n\r\n\n"), 2)
	f.Add([]byte("retry: 1\n\n: x\n\nid\n\n"), 4)
	f.Fuzz(func(t *testing.T, body []byte, piece int) {
		if len(body) > MaxEventBytes {
			return
		}
		piece = max(1, piece%64)
		var whole, pieces Splitter
		blocks, err := whole.Add(body)
		require.NoError(t, err)
		require.Equal(t, string(body), string(blocks)+string(whole.rest))
		if len(blocks) > 0 {
			require.Equal(t, byte('\n'), blocks[len(blocks)-1])
		}
		var out []byte
		for rest := body; len(rest) > 0; {
			n := min(piece, len(rest))
			b, err := pieces.Add(rest[:n])
			require.NoError(t, err)
			out = append(out, b...)
			rest = rest[n:]
		}
		require.Equal(t, string(body), string(out)+string(pieces.rest))
		require.Equal(t, whole.Ending(FramedByClose, true, io.EOF), pieces.Ending(FramedByClose, true, io.EOF))
		require.Equal(t, whole.last, pieces.last)
		if whole.unfinished() {
			require.IsType(t, BrokenOff{}, Judge(whole.Ending(FramedByChunks, true, io.EOF)))
		}
		whole.BeginRun()
		require.IsType(t, BrokenOff{}, Judge(whole.Ending(FramedByClose, true, io.EOF)), "a resumed run without an event")
	})
}
