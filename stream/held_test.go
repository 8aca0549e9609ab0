package stream_test

import (
	"bytes"
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"currantstile/memory"
	"currantstile/stream"
)

// endlessReader never ends, and counts what was read.
type endlessReader struct {
	n int64
}

func (e *endlessReader) Read(b []byte) (int, error) {
	e.n += int64(len(b))
	return len(b), nil
}

// Guards against a body that is held beyond what was taken for it, or beyond its limit.
func TestBodyIsReadWithinItsRoom(t *testing.T) {
	const limit = 1 << 20
	for _, c := range []struct {
		name     string
		size     int
		declared int64
		room     int64
		err      error
	}{
		{name: "empty", declared: 0, room: limit},
		{name: "declared", size: 70000, declared: 70000, room: limit},
		{name: "undeclared", size: 70000, declared: -1, room: limit},
		{name: "at the limit", size: limit, declared: -1, room: 4 * limit},
		{name: "beyond the limit", size: limit + 1, declared: -1, room: 4 * limit, err: stream.ErrTooLarge},
		{name: "no room", size: 70000, declared: -1, room: 100000, err: memory.ErrNoRoom},
		{name: "more than declared", size: 70000, declared: 10, room: 4 * limit},
	} {
		t.Run(c.name, func(t *testing.T) {
			pool := memory.NewPool(c.room)
			held := pool.Holder()
			sent := bytes.Repeat([]byte("x"), c.size)
			body, err := stream.ReadHeld(bytes.NewReader(sent), c.declared, limit, &held)
			require.ErrorIs(t, err, c.err)
			require.LessOrEqual(t, held.Bytes(), c.room/2)
			if c.err != nil {
				require.Nil(t, body)
				return
			}
			require.Equal(t, len(sent), len(body))
			require.EqualValues(t, cap(body), held.Bytes())
		})
	}
}

// Guards against reading what is known not to fit, and against reading without end.
func TestBodyThatDoesNotFitIsNotRead(t *testing.T) {
	for _, c := range []struct {
		name     string
		declared int64
		read     int64
		err      error
	}{
		{name: "declared beyond the limit", declared: 2 << 20, err: stream.ErrTooLarge},
		{name: "declared beyond the room", declared: 1 << 20, err: memory.ErrNoRoom},
		{name: "without end", declared: -1, read: 1 << 19, err: memory.ErrNoRoom},
	} {
		t.Run(c.name, func(t *testing.T) {
			held := memory.NewPool(1 << 20).Holder()
			r := &endlessReader{}
			_, err := stream.ReadHeld(r, c.declared, 1<<20, &held)
			require.ErrorIs(t, err, c.err)
			require.LessOrEqual(t, r.n, c.read)
		})
	}
	var unbounded memory.Holder
	_, err := stream.ReadHeld(io.LimitReader(&endlessReader{}, 1<<20), -1, 1<<20, &unbounded)
	require.NoError(t, err)
}
