package peer

import (
	"bufio"
	"encoding/gob"
	"io"
	"math"
	"net"
	"net/rpc"
	"time"

	"github.com/pkg/errors"

	"currantstile/accept"
	"currantstile/errs"
	"currantstile/memory"
)

// maxMessageBytes bounds one request of another instance. The largest are a configuration
// and the targets of a fleet.
const maxMessageBytes = 64 << 20

// errMessageTooLarge ends a connection whose request does not end within its bound.
var errMessageTooLarge = errors.New("request of an instance is too large")

// boundedReader bounds the bytes that are read until the bound is renewed, and holds the memory of each message
// from its announcement on. gob alone would accept messages of gigabytes, and allocates up to 10 MiB for a message
// before it arrives.
type boundedReader struct {
	r    io.Reader
	left int
	held memory.Holder
	// prefix is the number of bytes that are missing of the length of a message, of which length has the first
	// ones, and payload the number of bytes that are missing of the message.
	prefix          int
	length, payload uint64
}

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errMessageTooLarge
	}
	n, err := b.r.Read(p[:min(len(p), b.left)])
	b.left -= n
	if e := b.follow(p[:n]); e != nil {
		return 0, e
	}
	return n, err
}

// follow follows the messages in the bytes that were read: each begins with its length, which is one byte up to
// 127, or the negated number of its bytes and these.
func (b *boundedReader) follow(p []byte) error {
	for len(p) > 0 {
		if b.payload > 0 {
			n := min(uint64(len(p)), b.payload)
			b.payload -= n
			p = p[n:]
			continue
		}
		x := p[0]
		p = p[1:]
		switch {
		case b.prefix > 0:
			b.length = b.length<<8 | uint64(x)
			b.prefix--
		case x <= math.MaxInt8:
			b.length = uint64(x)
		default:
			b.length, b.prefix = 0, -int(int8(x))
		}
		if b.prefix > 0 {
			continue
		}
		if b.length > maxMessageBytes {
			return errMessageTooLarge
		}
		b.payload = b.length
		if !b.held.Grow(int64(b.length)) {
			return memory.ErrNoRoom
		}
	}
	return nil
}

// release gives back the memory of the messages that were read completely.
func (b *boundedReader) release() {
	incomplete := int64(0)
	if b.payload > 0 {
		incomplete = int64(b.length)
	}
	// Less than before always fits.
	b.held.Set(min(incomplete, b.held.Bytes()))
}

// serverCodec is the gob encoding of net/rpc with a bound on the size of requests.
type serverCodec struct {
	conn  io.ReadWriteCloser
	input *boundedReader
	dec   *gob.Decoder
	enc   *gob.Encoder
	buf   *bufio.Writer
}

func newServerCodec(conn io.ReadWriteCloser, held memory.Holder) *serverCodec {
	input := &boundedReader{
		r:    conn,
		held: held,
	}
	buf := bufio.NewWriter(conn)
	return &serverCodec{
		conn:  conn,
		input: input,
		dec:   gob.NewDecoder(input),
		enc:   gob.NewEncoder(buf),
		buf:   buf,
	}
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	c.input.left = maxMessageBytes
	c.input.release()
	if err := c.dec.Decode(r); err != nil {
		// net/rpc ends the connection.
		c.input.held.Release()
		return err
	}
	// An instance that calls is one that others rely on: its connection is not closed in favour of another.
	if conn, ok := c.conn.(*accept.Conn); ok && !conn.Begin(time.Now()) {
		return net.ErrClosed
	}
	return nil
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(body any) error {
	defer c.input.release()
	return c.dec.Decode(body)
}

// WriteResponse implements rpc.ServerCodec. net/rpc serializes its calls. After an error the
// connection is closed, since the client cannot find the next response.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) (err error) {
	defer func() {
		if err != nil {
			// The connection is unusable, and err has the cause.
			_ = c.Close()
		}
	}()
	defer errs.Recover("serverCodec.WriteResponse", &err)
	if err = c.enc.Encode(r); err == nil {
		err = c.enc.Encode(body)
	}
	if err == nil {
		err = c.buf.Flush()
	}
	return err
}

// Close implements rpc.ServerCodec.
func (c *serverCodec) Close() error {
	return c.conn.Close()
}
