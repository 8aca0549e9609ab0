package proxy

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"

	"currantstile/call"
	"currantstile/fleet"
	"currantstile/poison"
)

const (
	// collectTime is how long interrupted requests are collected after the first one, since
	// the connections of a target do not break at the same instant.
	collectTime = 40 * time.Millisecond
	// startingEvents is the number of whole events below which a stream is at the start
	// of its answer.
	startingEvents = 3
	// maxLoggedRequests bounds the requests that one log line lists.
	maxLoggedRequests = 8
)

// interruption is a request whose connection broke before its answer was complete.
type interruption struct {
	request  *call.Request
	features []poison.Feature
	sentAt   time.Time
	// events is the number of whole events that the target had sent.
	events int
}

// starting reports whether the target had not got beyond the start of the answer. Only
// such a request can be the cause if the target crashed on it.
func (i interruption) starting() bool {
	return i.events < startingEvents
}

// crashDetector finds out whether targets that interrupted requests have ended, logs which
// requests they had just begun to answer, and reports them to the screen.
type crashDetector struct {
	// refuses reports whether a target refuses connections, and leaving whether it was
	// expected to end.
	refuses func(context.Context, netip.AddrPort) bool
	leaving func(id string) bool
	screen  Screen
	log     log.Logger

	mu sync.Mutex
	// pending are the targets that are not checked yet, by their ID.
	pending map[string]*interruptedTarget
}

// interruptedTarget is a target with the requests that it interrupted.
type interruptedTarget struct {
	target   fleet.Target
	requests []interruption
}

// add records an interrupted request. The first one schedules a check.
func (d *crashDetector) add(t fleet.Target, i interruption) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pending == nil {
		d.pending = make(map[string]*interruptedTarget)
		time.AfterFunc(collectTime, d.check)
	}
	if d.pending[t.ID] == nil {
		d.pending[t.ID] = &interruptedTarget{
			target: t,
		}
	}
	d.pending[t.ID].requests = append(d.pending[t.ID].requests, i)
}

// check reports the requests that were interrupted by targets whose process has ended.
func (d *crashDetector) check() {
	d.mu.Lock()
	pending := d.pending
	d.pending = nil
	d.mu.Unlock()
	var mu sync.Mutex
	var wg sync.WaitGroup
	ended := make(map[string][]poison.Interrupted)
	for id, t := range pending {
		leaving := d.leaving(id)
		wg.Go(func() {
			refused := d.refuses(context.Background(), t.target.Addr)
			t.log(&d.log, refused, leaving)
			if starting := t.starting(); refused && !leaving && len(starting) > 0 {
				mu.Lock()
				defer mu.Unlock()
				ended[t.incarnation()] = starting
			}
		})
	}
	wg.Wait()
	if len(ended) > 0 && d.screen != nil {
		d.screen.RecordEnded(time.Now(), ended)
	}
}

// incarnation names the run of the target's process that ended: a target may restart under
// its ID.
func (t *interruptedTarget) incarnation() string {
	return fmt.Sprintf("%s@%d", t.target.ID, t.target.Started)
}

// starting returns the requests whose answer was at its start.
func (t *interruptedTarget) starting() []poison.Interrupted {
	var list []poison.Interrupted
	for _, i := range t.requests {
		if i.starting() {
			list = append(list, poison.Interrupted{
				Features: i.features,
				SentAt:   i.sentAt,
			})
		}
	}
	return list
}

// log logs the requests that a target interrupted.
func (t *interruptedTarget) log(l *log.Logger, ended, leaving bool) {
	var ids, parts, adapters []string
	for _, i := range t.requests {
		if i.starting() && len(ids) < maxLoggedRequests {
			ids = append(ids, i.request.ID)
			parts = append(parts, i.request.PartNames())
			adapters = append(adapters, i.request.AdapterName())
		}
	}
	l.Info().Str("target", t.target.ID).Bool("ended", ended).Bool("leaving", leaving).Int("requests", len(t.requests)).Str("starting", strings.Join(ids, " ")).
		Str("parts", strings.Join(parts, " ")).Str("adapters", strings.Join(adapters, " ")).Msg("gate: target interrupted requests")
}

// recordInterruption records that the connection to the target of a placement broke.
func (x *Exchange) recordInterruption(p *Placement) {
	i := interruption{
		request:  x.Request,
		features: x.features,
		sentAt:   x.sentAt,
		events:   x.events.Events(),
	}
	x.interrupted = i.starting()
	x.gate.crashes.add(p.Target, i)
}

// recordAnswered records that the target answered the request completely.
func (x *Exchange) recordAnswered() {
	if x.gate.Screen != nil {
		x.gate.Screen.RecordAnswered(time.Now(), x.Request.ID, x.features)
	}
}

// checkFeatures returns a refusal if the request has a feature that crashes targets. It may
// make the request the trial of that feature.
func (x *Exchange) checkFeatures(ctx context.Context) *Refusal {
	if x.gate.Screen == nil {
		return nil
	}
	for _, p := range x.Request.SharedParts() {
		x.features = append(x.features, poison.PromptPart(p.ID))
	}
	x.features = append(x.features, poison.SameRequest(x.Request.Body, x.orgName(), x.Request.Method, x.Request.Host, x.Request.URI))
	return x.checkAgain(ctx)
}

// checkAgain checks the features before each attempt: one may have been blocked while the
// request waited.
func (x *Exchange) checkAgain(ctx context.Context) *Refusal {
	if x.gate.Screen == nil || x.trial {
		return nil
	}
	switch d := x.gate.Screen.Check(ctx, time.Now(), x.Request.ID, x.features).(type) {
	case poison.Blocked:
		x.blockedBy = d.Feature
		return &Refusal{
			Status:     http.StatusServiceUnavailable,
			Reason:     "crashes-targets",
			RetryAfter: d.RetryAfter,
		}
	case poison.TrialDue:
		x.trial = true
	}
	return nil
}
