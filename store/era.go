package store

import "github.com/pkg/errors"

// Era counts how often the service has returned from an older copy of its data. A service that does not
// report eras is in era 0.
type Era uint32

const (
	// eraShift is the number of bits of a revision that hold the service's own number: enough for 1,200
	// writes a second over 29 years. Fencing tokens, which are revisions, stay exact as a
	// floating-point number up to era 8,191.
	eraShift = 40
	// MaxEra is the largest era that a revision can hold as a positive 64-bit integer.
	MaxEra Era = 1<<(63-eraShift) - 1
)

// ErrRewound is returned for a write that was carried out in another era than that of its expected
// revision or lease, which named something else there. The key has to be read again.
var ErrRewound = errors.New("call was carried out after the key-value service returned from an older copy")

// At returns the revision with a number in an era. Zero stays the revision of a key that does not exist.
func (e Era) At(number uint64) Revision {
	if number == 0 {
		return 0
	}
	return e.Position(number)
}

// Position returns the revision with a number, which may be zero, up to which the service is known in an era.
func (e Era) Position(number uint64) Revision {
	return Revision(uint64(e)<<eraShift | number)
}

// Era returns the era of a revision.
func (r Revision) Era() Era {
	return Era(r >> eraShift)
}

// Number returns the number that the service itself uses for a revision.
func (r Revision) Number() uint64 {
	return uint64(r) & (1<<eraShift - 1)
}

// WrittenIn returns the revision at which an entry was written, for an entry that the service has kept from
// an earlier era. A copy keeps the numbers of its entries.
func (r Revision) WrittenIn(e Era) Revision {
	return min(r, e.At(r.Number()))
}
