// Package memory bounds the bytes that an instance holds for requests and answers: each holder is bounded
// elsewhere, a Pool bounds their sum.
//
// # Usage
//
//	b := memory.NewBudget(settings.MemoryBytes)
//	held := b.Answers.Holder()
//	defer held.Release()
//	if !held.Grow(n) {
//		return memory.ErrNoRoom
//	}
package memory

import (
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// bodyShare, answerShare and stateShare are the parts of an instance's memory that the bodies of requests,
	// the answers of targets and those of the store may take. The rest is for all else, and for what is not
	// collected yet.
	bodyShare   = 0.2
	answerShare = 0.15
	stateShare  = 0.15
	// connShare and messageShare are the parts for the buffers of callers' connections and for messages of other
	// instances that are being received.
	connShare    = 0.1
	messageShare = 0.1
	// crowdedShare is the part of a pool from which on holders give back what they can do without.
	crowdedShare = 0.5
)

// ErrNoRoom means that no room is left for the bytes of a request or an answer.
var ErrNoRoom = errors.New("no room is left in the memory of the instance")

// Budget is what an instance may hold, by shares, so that the answers of requests that run find room
// whatever is still to be sent.
type Budget struct {
	Bodies  *Pool
	Answers *Pool
	// State is for the answers of the store while they are read.
	State *Pool
	// Conns is for the buffers of callers' connections and the header sections that are received.
	Conns *Pool
	// Messages is for the messages of other instances while they are received.
	Messages *Pool
}

// NewBudget returns the budget of an instance that may use so many bytes of memory.
func NewBudget(memoryBytes int64) *Budget {
	return &Budget{
		Bodies:  NewPool(int64(bodyShare * float64(memoryBytes))),
		Answers: NewPool(int64(answerShare * float64(memoryBytes))),
		State:   NewPool(int64(stateShare * float64(memoryBytes))),

		Conns:    NewPool(int64(connShare * float64(memoryBytes))),
		Messages: NewPool(int64(messageShare * float64(memoryBytes))),
	}
}

// Pool is a number of bytes that holders share. No holder may have more than what is left for all others
// together: the large ones are refused first, and a small one finds room beside any number of them. The nil
// Pool has no bound. It is safe for concurrent use.
type Pool struct {
	limit   int64
	held    atomic.Int64
	refused atomic.Int64
}

// NewPool returns a pool of so many bytes.
func NewPool(limit int64) *Pool {
	return &Pool{
		limit: limit,
	}
}

// Limit returns the number of bytes of the pool.
func (p *Pool) Limit() int64 {
	return p.limit
}

// Held returns the number of bytes that are held.
func (p *Pool) Held() int64 {
	return p.held.Load()
}

// Refused returns how many times holders were refused bytes.
func (p *Pool) Refused() int64 {
	return p.refused.Load()
}

// Crowded reports whether holders should give back what they can do without.
func (p *Pool) Crowded() bool {
	return p != nil && float64(p.held.Load()) > crowdedShare*float64(p.limit)
}

// Holder returns a holder that has nothing yet.
func (p *Pool) Holder() Holder {
	return Holder{
		pool: p,
	}
}

// fits reports whether a holder of own bytes may have n more when held bytes are held in all.
func (p *Pool) fits(own, n, held int64) bool {
	return own+n <= p.limit-held-n
}

// take gives a holder of own bytes n more, unless they don't fit.
func (p *Pool) take(own, n int64) bool {
	for {
		held := p.held.Load()
		if !p.fits(own, n, held) {
			p.refused.Add(1)
			return false
		}
		if p.held.CompareAndSwap(held, held+n) {
			return true
		}
	}
}

// Holder is what one request or answer holds. It has no bound if it is nil or its zero value. It is for one
// goroutine at a time.
type Holder struct {
	pool  *Pool
	bytes int64
}

// Bytes returns the number of bytes held.
func (h *Holder) Bytes() int64 {
	if h == nil {
		return 0
	}
	return h.bytes
}

// Fits reports whether n bytes more would fit now.
func (h *Holder) Fits(n int64) bool {
	if h == nil || h.pool == nil || h.pool.fits(h.bytes, n, h.pool.held.Load()) {
		return true
	}
	h.pool.refused.Add(1)
	return false
}

// Grow takes n bytes more. It reports false, and takes none, if they don't fit.
func (h *Holder) Grow(n int64) bool {
	if h == nil || h.pool == nil {
		return true
	}
	if !h.pool.take(h.bytes, n) {
		return false
	}
	h.bytes += n
	return true
}

// Set changes the number of bytes held to n. It reports false, and changes nothing, if they don't fit.
func (h *Holder) Set(n int64) bool {
	if h == nil || h.pool == nil || n == h.bytes {
		return true
	}
	if n > h.bytes {
		return h.Grow(n - h.bytes)
	}
	h.pool.held.Add(n - h.bytes)
	h.bytes = n
	return true
}

// Release gives all bytes back.
func (h *Holder) Release() {
	h.Set(0)
}
