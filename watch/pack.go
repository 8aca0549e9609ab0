package watch

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"io"
	"time"

	"github.com/pkg/errors"

	"currantstile/store"
)

const (
	// minPackedBytes is the size of an update's values from which it is compressed. A
	// configuration of some hundred routes fills the narrowest links for a second, since
	// each instance passes it on to several others.
	minPackedBytes = 2 << 10
	// maxUnpackedBytes bounds the size of an update after decompression.
	maxUnpackedBytes = 32 << 20
	// minSendRate is the rate, in bytes a second, at which a link is expected to carry a
	// message besides its other traffic.
	minSendRate = 64 << 10
)

// pack compresses the entries of large updates, once for all instances that pass the
// message on.
func (m *Message) pack() error {
	for i := range m.Parts {
		p := &m.Parts[i]
		size := 0
		for _, e := range p.Entries {
			size += len(e.Value)
		}
		if size < minPackedBytes {
			continue
		}
		var b bytes.Buffer
		w, err := flate.NewWriter(&b, flate.BestSpeed)
		if err != nil {
			return errors.Wrap(err, "compress update")
		}
		if err := gob.NewEncoder(w).Encode(p.Entries); err != nil {
			return errors.Wrap(err, "encode update")
		}
		if err := w.Close(); err != nil {
			return errors.Wrap(err, "compress update")
		}
		p.Packed, p.Entries = b.Bytes(), nil
	}
	return nil
}

// unpacked returns the update with its entries decompressed.
func (p PrefixUpdate) unpacked() (PrefixUpdate, error) {
	if len(p.Packed) == 0 {
		return p, nil
	}
	r := flate.NewReader(bytes.NewReader(p.Packed))
	var entries store.Entries
	if err := gob.NewDecoder(io.LimitReader(r, maxUnpackedBytes)).Decode(&entries); err != nil {
		return p, errors.Wrapf(err, "decompress update of %s", p.Prefix)
	}
	p.Entries, p.Packed = entries, nil
	return p, nil
}

// sendTime returns the time limit for the delivery of a message.
func (m *Message) sendTime() time.Duration {
	size := 0
	for _, p := range m.Parts {
		size += len(p.Packed)
		for _, e := range p.Entries {
			size += len(e.Key) + len(e.Value)
		}
	}
	return sendTimeout + time.Duration(float64(size)/minSendRate*float64(time.Second))
}
