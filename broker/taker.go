package broker

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/phuslu/log"

	"currantstile/model"
	"currantstile/peer"
	"currantstile/quota"
	"currantstile/route"
	"currantstile/wire"
)

const (
	// takeTimeout bounds one question to another holder.
	takeTimeout = 150 * time.Millisecond
	// minEmpty and maxEmpty bound for how long a holder that had too little is not
	// asked again.
	minEmpty = 20 * time.Millisecond
	maxEmpty = 400 * time.Millisecond
	// maxNotes bounds how many holders are remembered as empty.
	maxNotes = 4096
)

// Taker takes the tokens of requests from this instance's own part of a contract
// and, where that does not suffice, from those of others.
type Taker struct {
	Self   string
	Ledger *quota.Ledger
	Even   *Even
	Peers  *peer.Pool
	// Limits returns an organisation's limits by the configuration in force.
	Limits func(model.OrgID) (quota.Limits, bool)
	Log    log.Logger

	mu sync.Mutex
	// empty is until when a holder is not asked for an organisation's tokens.
	empty map[emptyKey]time.Time
}

// emptyKey is a holder and an organisation.
type emptyKey struct {
	holder string
	org    model.OrgID
}

// taken is what one holder gave.
type taken struct {
	addr   netip.AddrPort
	tokens int64
}

// holder is another instance that holds parts.
type holder struct {
	name string
	addr netip.AddrPort
}

// Take takes the tokens of a request, all or none. It reports false with the time
// after which there may be enough.
func (t *Taker) Take(ctx context.Context, now time.Time, org model.OrgID, limits quota.Limits, cost int64) (time.Duration, bool) {
	own := t.Ledger.Take(now, org, limits, cost)
	missing := cost - own
	var others []taken
	for _, h := range t.order(org) {
		if missing <= 0 || ctx.Err() != nil {
			break
		}
		got, asked := t.ask(ctx, now, h, org, limits, missing)
		if got > 0 {
			others = append(others, taken{
				addr:   h.addr,
				tokens: got,
			})
		}
		missing -= got
		if asked {
			now = time.Now()
		}
	}
	if missing <= 0 {
		return 0, true
	}
	t.giveBack(org, own, others)
	return time.Duration(float64(missing) / float64(max(limits.Rate, 1)) * float64(time.Second)), false
}

// order lists the other holders, in an order of this instance's own, so that all
// instances together ask them evenly.
func (t *Taker) order(org model.OrgID) []holder {
	var list []holder
	for name, addr := range t.Even.Holders(org) {
		list = append(list, holder{
			name: name,
			addr: addr,
		})
	}
	return route.TopBy(t.Self+string(org), list, func(h *holder) string {
		return h.name
	}, len(list), func(*holder) bool {
		return true
	})
}

// ask takes tokens from another holder. It reports whether a call was made.
func (t *Taker) ask(ctx context.Context, now time.Time, h holder, org model.OrgID, limits quota.Limits, tokens int64) (int64, bool) {
	key := emptyKey{
		holder: h.name,
		org:    org,
	}
	t.mu.Lock()
	until := t.empty[key]
	t.mu.Unlock()
	if now.Before(until) {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	var reply wire.TakeReply
	err := t.Peers.Call(ctx, h.addr, wire.MethodTake, wire.TakeArgs{
		Organisation: org,
		Tokens:       tokens,
	}, &reply)
	if err != nil {
		t.Log.Info().Err(err).Str("holder", h.name).Msg("share: holder does not answer")
		t.note(key, now.Add(maxEmpty))
		return 0, true
	}
	if reply.Tokens < tokens {
		part := float64(max(limits.Rate, 1)) / evenHolders
		wait := time.Duration(float64(tokens-reply.Tokens) / part * float64(time.Second))
		t.note(key, now.Add(min(max(wait, minEmpty), maxEmpty)))
	}
	return reply.Tokens, true
}

func (t *Taker) note(key emptyKey, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.empty == nil || len(t.empty) >= maxNotes {
		t.empty = make(map[emptyKey]time.Time)
	}
	t.empty[key] = until
}

// giveBack returns what was taken for a request that is refused. What another
// holder does not get back is lost to the organisation, and never counted twice.
func (t *Taker) giveBack(org model.OrgID, own int64, others []taken) {
	t.Ledger.GiveBack(time.Now(), org, own)
	for _, o := range others {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), takeTimeout)
			defer cancel()
			if err := t.Peers.Call(ctx, o.addr, wire.MethodReturn, wire.ReturnArgs{
				Organisation: org,
				Tokens:       o.tokens,
			}, &wire.Empty{}); err != nil {
				t.Log.Debug().Err(err).Msg("share: tokens are not given back")
			}
		}()
	}
}

// TakeFor answers another instance that takes tokens here.
func (t *Taker) TakeFor(now time.Time, args wire.TakeArgs) wire.TakeReply {
	limits, ok := t.Limits(args.Organisation)
	if !ok {
		return wire.TakeReply{}
	}
	return wire.TakeReply{
		Tokens: t.Ledger.Take(now, args.Organisation, limits, args.Tokens),
	}
}
