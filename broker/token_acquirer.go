package broker

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/phuslu/log"

	"currantstile/errs"
	"currantstile/model"
	"currantstile/peer"
	"currantstile/quota"
	"currantstile/route"
	"currantstile/wire"
)

const (
	// acquireTimeout bounds one call to another holder.
	acquireTimeout = 150 * time.Millisecond
	// minBackoff and maxBackoff bound how long a holder is not called again after it
	// had too few tokens.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// maxBackoffEntries bounds the size of the backoff map; a full map is cleared.
	maxBackoffEntries = 4096
)

// TokenAcquirer takes the tokens of requests from this instance's own share of a
// contract and, where that does not suffice, from the shares of other instances.
type TokenAcquirer struct {
	Self      string
	Ledger    *quota.Ledger
	Allocator *EvenAllocator
	Peers     *peer.Pool
	// Limits returns an organisation's limits in the current configuration.
	Limits func(model.OrgID) (quota.Limits, bool)
	Log    log.Logger

	mu sync.Mutex
	// backoffUntil is the time before which a holder is not called for an organisation.
	backoffUntil map[backoffKey]time.Time
}

// backoffKey identifies the backoff of a holder for one organisation.
type backoffKey struct {
	holder string
	org    model.OrgID
}

// contribution is the number of tokens taken from one holder.
type contribution struct {
	addr   netip.AddrPort
	tokens int64
}

// holder is another instance that holds shares.
type holder struct {
	name string
	addr netip.AddrPort
}

// Acquire takes the tokens of a request, all or none. If there are too few, it returns
// those already taken to their holders, and reports false and how long the missing ones
// take to accrue at the organisation's rate.
func (t *TokenAcquirer) Acquire(ctx context.Context, now time.Time, org model.OrgID, limits quota.Limits, cost int64) (time.Duration, bool) {
	own := t.Ledger.Take(now, org, limits, cost)
	missing := cost - own
	var others []contribution
	for _, h := range t.orderedHolders(org) {
		if missing <= 0 || ctx.Err() != nil {
			break
		}
		got, called := t.takeFrom(ctx, now, h, org, limits, missing)
		if got > 0 {
			others = append(others, contribution{
				addr:   h.addr,
				tokens: got,
			})
		}
		missing -= got
		if called {
			now = time.Now()
		}
	}
	if missing <= 0 {
		return 0, true
	}
	t.returnTokens(org, own, others)
	return time.Duration(float64(missing) / float64(max(limits.Rate, 1)) * float64(time.Second)), false
}

// orderedHolders returns the other holders in an order specific to this instance, so
// that the calls of all instances spread evenly over the holders.
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

// takeFrom takes up to the given tokens from another holder. It returns the tokens
// taken and whether a call was made.
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
	var reply wire.AcquireTokensReply
	err := t.Peers.Call(ctx, h.addr, wire.MethodAcquireTokens, wire.AcquireTokensArgs{
		Organisation: org,
		Tokens:       tokens,
	}, &reply)
	if err != nil {
		t.Log.Info().Err(err).Str("holder", h.name).Msg("share: token request failed; not calling the holder for a while")
		t.setBackoff(key, now.Add(maxBackoff))
		return 0, true
	}
	if reply.Tokens < tokens {
		rate := float64(max(limits.Rate, 1)) / maxEvenHolders
		wait := time.Duration(float64(tokens-reply.Tokens) / rate * float64(time.Second))
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

// returnTokens returns the tokens that were taken for a refused request. Tokens whose
// return to another holder fails are lost to the organisation; none are credited twice.
func (t *TokenAcquirer) returnTokens(org model.OrgID, own int64, others []contribution) {
	t.Ledger.Refund(time.Now(), org, own)
	for _, o := range others {
		go errs.Contain(&t.Log, "TokenAcquirer.returnTokens", func() {
			ctx, cancel := context.WithTimeout(context.Background(), acquireTimeout)
			defer cancel()
			if err := t.Peers.Call(ctx, o.addr, wire.MethodReturnTokens, wire.ReturnTokensArgs{
				Organisation: org,
				Tokens:       o.tokens,
			}, &wire.Empty{}); err != nil {
				t.Log.Debug().Err(err).Msg("share: tokens not returned to holder; they are lost to the organisation")
			}
		})
	}
}

// ServeTake handles another instance's request for tokens of this instance's share.
func (t *TokenAcquirer) ServeTake(now time.Time, args wire.AcquireTokensArgs) wire.AcquireTokensReply {
	limits, ok := t.Limits(args.Organisation)
	if !ok {
		return wire.AcquireTokensReply{}
	}
	return wire.AcquireTokensReply{
		Tokens: t.Ledger.Take(now, args.Organisation, limits, args.Tokens),
	}
}
