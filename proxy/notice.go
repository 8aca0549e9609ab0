package proxy

import (
	"net/http"
	"strings"
	"time"

	"currantstile/avail"
	"currantstile/call"
)

// recordNotice records what an answer that belongs to the request says about its target: that it
// leaves, with 503 for how long it wants no requests, or which rate limit it names. What is new goes to
// the target's manager, or to all instances if it has none.
func (x *Exchange) recordNotice(now, sentAt time.Time, p *Placement, status int, info call.ResponseInfo) {
	g := x.gate
	if len(info.Malformed) > 0 {
		g.Router.malformed.Add(1)
		g.Log.Warn().Str("request", x.Request.ID).Str("target", x.Target).Str("fields", strings.Join(info.Malformed, " ")).Msg("gate: answer has invalid fields; ignoring them")
	}
	n := avail.NoticeOf(&p.Target)
	n.Leaving = info.Leaving
	if status == http.StatusServiceUnavailable {
		n.Pushback = info.RetryAfter
	}
	if info.Limit != nil {
		n.Limit = newEvidence(now.Sub(sentAt), *info.Limit)
	}
	before, wasLimited := g.Router.Avail.LimitOf(&p.Target)
	if !g.Router.Avail.Record(now, n) {
		return
	}
	if after, limited := g.Router.Avail.LimitOf(&p.Target); limited != wasLimited || after != before {
		g.Log.Info().Str("request", x.Request.ID).Str("target", x.Target).Bool("limited", limited).Float64("limit", after).Float64("before", before).
			Dur("age", now.Sub(sentAt)).Int("status", status).Msg("gate: target's rate limit changed, by its answer")
	}
	if n.Leaving || n.Pushback > 0 {
		g.Log.Info().Str("request", x.Request.ID).Str("target", x.Target).Bool("leaving", n.Leaving).Dur("pushback", n.Pushback).
			Int("status", status).Str("manager", p.manager).Msg("gate: target takes no requests, by its answer")
	}
	if p.manager == "" && g.Router.Share != nil {
		g.Router.Share(now, n)
	}
	if holder := g.Router.limitHolder(p); holder != "" && holder != g.Router.Self {
		g.Router.queueNotice(holder, n)
	}
}

// newEvidence returns what an answer to a request that was sent some time ago says of its target's
// rate limit.
func newEvidence(sentAge time.Duration, l call.RateLimit) *avail.LimitEvidence {
	rate := avail.Unlimited
	if l.Named {
		rate = l.PerSecond
	}
	return &avail.LimitEvidence{
		Rate:    rate,
		SentAge: sentAge,
	}
}

// Malformed returns how many answers of targets had fields with invalid values.
func (r *Router) Malformed() int64 {
	return r.malformed.Load()
}
