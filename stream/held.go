package stream

import (
	"io"

	"github.com/pkg/errors"

	"currantstile/memory"
)

const (
	// firstReadBytes is the size of the first buffer for a body.
	firstReadBytes = 4 << 10
	// growth is by how much the buffer for a body grows when it is full.
	growth = 2
)

// ErrTooLarge is the error of ReadHeld for a body beyond its limit.
var ErrTooLarge = errors.New("body is too large")

// ReadHeld reads a body of at most limit bytes, and takes the bytes for it as they arrive. The declared
// length is negative if it is unknown; one that does not fit is refused before anything is read.
func ReadHeld(r io.Reader, declared, limit int64, held *memory.Holder) ([]byte, error) {
	if declared > limit {
		return nil, ErrTooLarge
	}
	most := limit
	if declared >= 0 {
		most = declared
		if !held.Fits(declared) {
			return nil, memory.ErrNoRoom
		}
	}
	var buf []byte
	for {
		if len(buf) == cap(buf) {
			// One byte more than the body shows its end, or that it goes on.
			size := min(max(growth*int64(cap(buf)), firstReadBytes), max(most, int64(len(buf)))+1)
			if !held.Grow(size - int64(cap(buf))) {
				return nil, memory.ErrNoRoom
			}
			grown := make([]byte, len(buf), size)
			copy(grown, buf)
			buf = grown
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case int64(len(buf)) > limit:
			return nil, ErrTooLarge
		case err == io.EOF:
			return buf, nil
		case err != nil:
			return buf, err
		}
	}
}
