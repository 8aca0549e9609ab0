package proxy

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"currantstile/origin"
)

const (
	// minMoveLead is how long before the end of its target a stream is moved at the latest: the time of a placement
	// and of a new prompt. moveSpread spreads the streams of one target over a time before.
	minMoveLead = 500 * time.Millisecond
	moveSpread  = time.Second
)

// moveLead returns how long before the end of its target a request's stream is moved.
func moveLead(id string) time.Duration {
	return minMoveLead + time.Duration(xxhash.Sum64String(id)%uint64(moveSpread))
}

// mustMove reports whether a stream has to go on at another target now, since its target is taken away before the
// stream is expected to end. It takes a retry from the budget if so. A stream that cannot be resumed stays.
func (x *Exchange) mustMove(now time.Time, p *Placement) bool {
	r := x.gate.Router
	view := r.Registry.View()
	t, ok := view.Target(p.Target.ID)
	if !ok || t.EndsAt.IsZero() || !t.SameIncarnation(&p.Target) || now.Before(t.EndsAt.Add(-moveLead(x.Request.ID))) {
		return false
	}
	if _, resumable := x.events.ResumeID(); !resumable || !x.headSent || !x.Route.Resumable || x.events.Events() == 0 {
		return false
	}
	if x.executions+1 >= max(x.Route.MaxTargets, 1) || x.held.body.isDropped() || len(r.openTargets(now, view, t.Service, nil)) == 0 {
		return false
	}
	return r.AllowRetry(now, x)
}

// moveStream ends the run of a stream at a target that is taken away. The target is not at fault.
func (x *Exchange) moveStream(p *Placement, sentAt time.Time, resp *origin.Response) sendResult {
	x.gate.Log.Info().Str("request", x.Request.ID).Str("target", x.Target).Int("events", x.events.AllEvents()).
		Msg("gate: target is taken away; stream goes on at another one")
	resp.Response.Close = true
	resp.Abort()
	p.release(sentAt, endCancelled)
	x.moving = true
	return resultStreamBroken
}
