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
	// acquireTimeout bounds one question to another holder.
	acquireTimeout = 150 * time.Millisecond
	// minBackoff and maxEmpty bound for how long a holder that had too little is not
	// asked again.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// maxBackoffEntries bounds how many holders are remembered as empty.
	maxBackoffEntries = 4096
)

// TokenAcquirer takes the tokens of requests from this instance's own part of a contract
// and, where that does not suffice, from those of others.
type TokenAcquirer struct {
	Self      string
	Ledger    *quota.Ledger
	Allocator *EvenAllocator
	Peers     *peer.Pool
	// Limits returns an organisation's limits by the configuration in force.
	Limits func(model.OrgID) (quota.Limits, bool)
	Log    log.Logger

	mu sync.Mutex
	// backoffUntil is until when a holder is not asked for an organisation's tokens.
	backoffUntil map[backoffKey]time.Time
}

// backoffKey is a holder and an organisation.
type backoffKey struct {
	holder string
	org    model.OrgID
}

// contribution is what one holder gave.
type contribution struct {
	addr   netip.AddrPort
	tokens int64
}

// holder is another instance that holds parts.
type holder struct {
	name string
	addr netip.AddrPort
}

// Acquire takes the tokens of a request, all or none. It reports false with the time
// after which there may be enough.
func (t *TokenAcquirer) Acquire(ctx context.Context, now time.Time, org model.OrgID, limits quota.Limits, cost int64) (time.Duration, bool) {
	own := t.Ledger.Take(now, org, limits, cost)
	missing := cost - own
	var others []contribution
	for _, h := range t.orderedHolders(org) {
		if missing <= 0 || ctx.Err() != nil {
			break
		}
		got, asked := t.takeFrom(ctx, now, h, org, limits, missing)
		if got > 0 {
			others = append(others, contribution{
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
	t.returnTokens(org, own, others)
	return time.Duration(float64(missing) / float64(max(limits.Rate, 1)) * float64(time.Second)), false
}

// orderedHolders lists the other holders, in an order of this instance's own, so that all
// instances together ask them evenly.
func (t *TokenAcquirer) orderedHolders(org model.OrgID) []holder {
	var list []holder
	for name, addr := range t.Allocator.Holders(org) {
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

// takeFrom takes tokens from another holder. It reports whether a call was made.
func (t *TokenAcquirer) takeFrom(ctx context.Context, now time.Time, h holder, org model.OrgID, limits quota.Limits, tokens int64) (int64, bool) {
	key := backoffKey{
		holder: h.name,
		org:    org,
	}
	t.mu.Lock()
	until := t.backoffUntil[key]
	t.mu.Unlock()
	if now.Before(until) {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	var reply wire.TakeReply
	err := t.Peers.Call(ctx, h.addr, wire.MethodTake, wire.TakeArgs{
		Organisation: org,
		Tokens:       tokens,
	}, &reply)
	if err != nil {
		t.Log.Info().Err(err).Str("holder", h.name).Msg("share: holder does not answer")
		t.setBackoff(key, now.Add(maxBackoff))
		return 0, true
	}
	if reply.Tokens < tokens {
		part := float64(max(limits.Rate, 1)) / maxEvenHolders
		wait := time.Duration(float64(tokens-reply.Tokens) / part * float64(time.Second))
		t.setBackoff(key, now.Add(min(max(wait, minBackoff), maxBackoff)))
	}
	return reply.Tokens, true
}

func (t *TokenAcquirer) setBackoff(key backoffKey, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.backoffUntil == nil || len(t.backoffUntil) >= maxBackoffEntries {
		t.backoffUntil = make(map[backoffKey]time.Time)
	}
	t.backoffUntil[key] = until
}

// returnTokens returns what was taken for a request that is refused. What another
// holder does not get back is lost to the organisation, and never counted twice.
func (t *TokenAcquirer) returnTokens(org model.OrgID, own int64, others []contribution) {
	t.Ledger.GiveBack(time.Now(), org, own)
	for _, o := range others {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), acquireTimeout)
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

// ServeTake answers another instance that takes tokens here.
func (t *TokenAcquirer) ServeTake(now time.Time, args wire.TakeArgs) wire.TakeReply {
	limits, ok := t.Limits(args.Organisation)
	if !ok {
		return wire.TakeReply{}
	}
	return wire.TakeReply{
		Tokens: t.Ledger.Take(now, args.Organisation, limits, args.Tokens),
	}
}
