package stream_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"currantstile/stream"
)

// headCases are heads, with the bytes behind them, and what is wrong with them.
var headCases = []struct {
	name string
	head string
	err  error
}{
	{
		name: "sound",
		head: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nX-Extra:a b: c\r\n\r\na b: c\r\n d",
	},
	{
		name: "no fields",
		head: "HTTP/1.1 200 OK\r\n\r\na b: c",
	},
	{
		name: "interim responses",
		head: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a b\r\n\r\nHTTP/1.1 200 OK\r\n\r\na b: c",
	},
	{
		name: "HTTP/1.0",
		head: "HTTP/1.0 200 OK\r\nX-Transfer-Encoding: chunked\r\n\r\n",
	},
	{
		name: "transfer encoding",
		head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	},
	{
		name: "transfer encoding in HTTP/1.0",
		head: "HTTP/1.0 200 OK\r\ntransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		err:  stream.ErrFaultyFraming,
	},
	{
		name: "bare LF throughout",
		head: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\nContent-Length: 9\n\na b: c\r\n d",
	},
	{
		name: "LF in front of a name",
		head: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\nX-Extra: 1\r\n\r\n",
		err:  stream.ErrLineBreak,
	},
	{
		name: "bare LF behind a field",
		head: "HTTP/1.1 200 OK\r\nX-Extra: 1\nContent-Length: 9\r\n\r\n",
		err:  stream.ErrLineBreak,
	},
	{
		name: "bare LF behind the status line",
		head: "HTTP/1.1 200 OK\nContent-Length: 9\r\n\r\n",
		err:  stream.ErrLineBreak,
	},
	{
		name: "blank at the end of a name",
		head: "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n\r\n",
		err:  stream.ErrFieldName,
	},
	{
		name: "blank within a name",
		head: "HTTP/1.1 200 OK\r\nContent -Length: 1\r\n\r\n",
		err:  stream.ErrFieldName,
	},
	{
		name: "blank at the beginning of a line",
		head: "HTTP/1.1 200 OK\r\nX-Extra: 1\r\n Content-Length: 1\r\n\r\n",
		err:  stream.ErrFieldName,
	},
	{
		name: "tab at the beginning of a line",
		head: "HTTP/1.1 200 OK\r\nX-Extra: 1\r\n\tcontinued\r\n\r\n",
		err:  stream.ErrFieldName,
	},
	{
		name: "blank in a name of an interim response",
		head: "HTTP/1.1 103 Early Hints\r\nX Extra: 1\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
		err:  stream.ErrFieldName,
	},
	{
		name: "blank in a name behind an interim response",
		head: "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX Extra: 1\r\n\r\n",
		err:  stream.ErrFieldName,
	},
}

// Guards against a head that is judged otherwise when it arrives in several reads, or after another response.
func TestHeadCheck(t *testing.T) {
	for _, c := range headCases {
		t.Run(c.name, func(t *testing.T) {
			var h stream.HeadCheck
			for cut := range c.head {
				for _, other := range headCases {
					h.Reset()
					h.Add([]byte(other.head))
					h.Reset()
					h.Add([]byte(c.head[:cut]))
					h.Add([]byte(c.head[cut:]))
					require.Equal(t, c.err, h.Err(), "cut at %d", cut)
				}
				h = stream.HeadCheck{}
				for i := range c.head {
					h.Add([]byte{c.head[i]})
				}
				require.Equal(t, c.err, h.Err(), "byte by byte")
			}
		})
	}
}
