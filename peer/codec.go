package peer

import (
	"bufio"
	"encoding/gob"
	"io"
	"net/netip"
	"net/rpc"

	"currantstile/errs"
)

// Transfer is the traffic of one request or one response of a call.
type Transfer struct {
	Addr   netip.AddrPort
	Method string
	// Request is set for a request, whose bytes were sent; the bytes of a response were
	// received.
	Request bool
	Bytes   int64
}

// countingStream counts the bytes of a connection. net/rpc writes one request and reads
// one response at a time, so each counter has one user.
type countingStream struct {
	io.ReadWriteCloser
	read, written int64
}

// Read implements io.Reader.
func (s *countingStream) Read(b []byte) (int, error) {
	n, err := s.ReadWriteCloser.Read(b)
	s.read += int64(n)
	return n, err
}

// Write implements io.Writer.
func (s *countingStream) Write(b []byte) (int, error) {
	n, err := s.ReadWriteCloser.Write(b)
	s.written += int64(n)
	return n, err
}

// clientCodec is the gob encoding of net/rpc with an observer of the bytes of each call.
// Bytes that are read ahead count for the response before them.
type clientCodec struct {
	addr    netip.AddrPort
	stream  *countingStream
	dec     *gob.Decoder
	enc     *gob.Encoder
	buf     *bufio.Writer
	observe func(Transfer)
	// method is that of the response being read, and readBefore the number of bytes
	// read before it.
	method     string
	readBefore int64
}

func newClientCodec(addr netip.AddrPort, conn io.ReadWriteCloser, observe func(Transfer)) *clientCodec {
	s := &countingStream{
		ReadWriteCloser: conn,
	}
	buf := bufio.NewWriter(s)
	return &clientCodec{
		addr:    addr,
		stream:  s,
		dec:     gob.NewDecoder(s),
		enc:     gob.NewEncoder(buf),
		buf:     buf,
		observe: observe,
	}
}

// WriteRequest implements rpc.ClientCodec.
func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	before := c.stream.written
	if err := c.enc.Encode(r); err != nil {
		return err
	}
	if err := c.enc.Encode(body); err != nil {
		return err
	}
	if err := c.buf.Flush(); err != nil {
		return err
	}
	c.observe(Transfer{
		Addr:    c.addr,
		Method:  r.ServiceMethod,
		Request: true,
		Bytes:   c.stream.written - before,
	})
	return nil
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) (err error) {
	defer errs.Recover("clientCodec.ReadResponseHeader", &err)
	c.readBefore = c.stream.read
	err = c.dec.Decode(r)
	c.method = r.ServiceMethod
	return err
}

// ReadResponseBody implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseBody(body any) (err error) {
	defer errs.Recover("clientCodec.ReadResponseBody", &err)
	err = c.dec.Decode(body)
	c.observe(Transfer{
		Addr:   c.addr,
		Method: c.method,
		Bytes:  c.stream.read - c.readBefore,
	})
	return err
}

// Close implements rpc.ClientCodec.
func (c *clientCodec) Close() error {
	return c.stream.Close()
}
