package proxy

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against bytes that get lost or are added when a stream is split into events, and
// against a result that depends on how its bytes arrive.
func FuzzEventSplitter(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\nid: 2\nda"), 3)
	f.Add([]byte("id: 1\r\ndata: x\r\n\r\n: end\r\n"), 1)
	f.Add([]byte("\n\n\n\r\n\n"), 2)
	f.Fuzz(func(t *testing.T, stream []byte, piece int) {
		piece = max(1, piece%64)
		var whole, pieces eventSplitter
		events := whole.add(stream)
		require.Equal(t, string(stream), string(events)+string(whole.partial))
		if len(events) > 0 {
			require.Equal(t, byte('\n'), events[len(events)-1])
		}
		var out []byte
		for rest := stream; len(rest) > 0; {
			n := min(piece, len(rest))
			out = append(out, pieces.add(rest[:n])...)
			rest = rest[n:]
		}
		require.Equal(t, string(stream), string(out)+string(pieces.partial))
		require.Equal(t, whole.insideEvent(), pieces.insideEvent())
		require.Equal(t, whole.count == 0, pieces.count == 0)
		if bytes.Contains(stream, []byte("id")) {
			require.Equal(t, whole.lastID, pieces.lastID)
		}
	})
}
