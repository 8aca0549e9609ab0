package proxy

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"

	"currantstile/call"
	"currantstile/errs"
	"currantstile/fleet"
	"currantstile/poison"
)

const (
	// startingEvents is the number of whole events below which a stream is at the start
	// of its answer.
	startingEvents = 3
	// maxLoggedRequests bounds the requests that one log line lists.
	maxLoggedRequests = 8
	// reportDelay is how long ended targets are collected for one report.
	reportDelay = 20 * time.Millisecond
)

// lookTimes are the times after the first interrupted request at which a target is looked at.
// The first ones are late enough that all connections of an ended process have broken; the
// later ones find what the store says of it.
var lookTimes = []time.Duration{40 * time.Millisecond, 250 * time.Millisecond, time.Second, 3 * time.Second}

// maxDials is the number of looks that open a connection.
const maxDials = 2

// interruption is a request whose connection broke before its answer was complete.
type interruption struct {
	request  *call.Request
	features []poison.Feature
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
	// refuses reports whether a target refuses connections.
	refuses func(context.Context, netip.AddrPort) bool
	view    func() *fleet.View
	// saidLeaving reports whether an answer of a target said that it leaves; it may be nil.
	saidLeaving func(*fleet.Target) bool
	screen      Screen
	log         log.Logger

	mu sync.Mutex
	// pending are the targets of which it is not known that they have ended, by their
	// incarnation.
	pending map[string]*interruptedTarget
	// ended are the targets of the next report.
	ended []poison.Ended
}

// interruptedTarget is a target with the requests that it interrupted.
type interruptedTarget struct {
	target fleet.Target
	// since is the time of the first interrupted request, and looks the number of looks since.
	since    time.Time
	looks    int
	requests []interruption
	// refused is set once a request to the target was refused a connection.
	refused bool
}

// add records an interrupted request. The first one schedules the looks at the target.
func (d *crashDetector) add(now time.Time, t fleet.Target, i interruption) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pending == nil {
		d.pending = make(map[string]*interruptedTarget)
	}
	name := incarnation(&t)
	if d.pending[name] == nil {
		d.pending[name] = &interruptedTarget{
			target: t,
			since:  now,
		}
		d.schedule(d.pending[name])
	}
	d.pending[name].requests = append(d.pending[name].requests, i)
}

// schedule schedules the next look at a target. The caller holds the lock.
func (d *crashDetector) schedule(t *interruptedTarget) {
	time.AfterFunc(time.Until(t.since.Add(lookTimes[t.looks])), func() {
		errs.Contain(&d.log, "crashDetector.look", func() {
			d.look(t)
		})
	})
}

// refuse records that a target refused the connection for a request.
func (d *crashDetector) refuse(t *fleet.Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.pending[incarnation(t)]; p != nil {
		p.refused = true
	}
}

// look reports the requests that a target interrupted if its process has ended, and otherwise
// schedules the next look.
func (d *crashDetector) look(t *interruptedTarget) {
	known, listed := d.view().Target(t.target.ID)
	leaving := listed && known.Draining || !listed && t.looks == 0 || d.saidLeaving != nil && d.saidLeaving(&t.target)
	ended := d.hasEnded(t, known)
	d.mu.Lock()
	first, after := t.looks == 0, lookTimes[t.looks]
	t.looks++
	if ended || leaving || t.looks >= len(lookTimes) {
		delete(d.pending, incarnation(&t.target))
	} else {
		d.schedule(t)
	}
	requests := slices.Clone(t.requests)
	d.mu.Unlock()
	switch {
	case first:
		t.log(&d.log, requests, ended, leaving, after, "gate: target interrupted requests")
	case ended && !leaving:
		t.log(&d.log, requests, ended, leaving, after, "gate: target ended after it had interrupted requests")
	}
	if starting := starting(requests); ended && !leaving && len(starting) > 0 && d.screen != nil {
		d.report(poison.Ended{
			Target:   incarnation(&t.target),
			Service:  t.target.Service,
			At:       t.since,
			Requests: starting,
		})
	}
}

// hasEnded reports whether a target's process has ended. known is what the store says of the
// target now; nil if it is gone.
func (d *crashDetector) hasEnded(t *interruptedTarget, known *fleet.Target) bool {
	d.mu.Lock()
	refused := t.refused
	d.mu.Unlock()
	switch {
	case refused, known != nil && known.Started != t.target.Started, known == nil && t.looks > 0:
		return true
	case t.looks >= maxDials:
		return false
	default:
		return d.refuses(context.Background(), t.target.Addr)
	}
}

// report adds a target to the next report. The first one schedules it.
func (d *crashDetector) report(t poison.Ended) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.ended) == 0 {
		time.AfterFunc(reportDelay, func() {
			errs.Contain(&d.log, "crashDetector.report", func() {
				d.mu.Lock()
				ended := d.ended
				d.ended = nil
				d.mu.Unlock()
				d.screen.RecordEnded(time.Now(), ended)
			})
		})
	}
	d.ended = append(d.ended, t)
}

// incarnation names a run of a target's process: a target may restart under its ID.
func incarnation(t *fleet.Target) string {
	return fmt.Sprintf("%s@%d", t.ID, t.Started)
}

// starting returns the features of the requests whose answer was at its start.
func starting(requests []interruption) [][]poison.Feature {
	var list [][]poison.Feature
	for _, i := range requests {
		if i.starting() {
			list = append(list, i.features)
		}
	}
	return list
}

// log logs the requests that a target interrupted.
func (t *interruptedTarget) log(l *log.Logger, requests []interruption, ended, leaving bool, after time.Duration, message string) {
	var ids, parts, adapters []string
	for _, i := range requests {
		if i.starting() && len(ids) < maxLoggedRequests {
			ids = append(ids, i.request.ID)
			parts = append(parts, i.request.PartNames())
			adapters = append(adapters, i.request.AdapterName())
		}
	}
	l.Info().Str("target", t.target.ID).Bool("ended", ended).Bool("leaving", leaving).Int("requests", len(requests)).Str("starting", strings.Join(ids, " ")).
		Str("parts", strings.Join(parts, " ")).Str("adapters", strings.Join(adapters, " ")).Dur("after", after).Msg(message)
}

// recordInterruption records that the connection to the target of a placement broke.
func (x *Exchange) recordInterruption(p *Placement) {
	i := interruption{
		request:  x.Request,
		features: x.features,
		events:   x.events.Events(),
	}
	x.interrupted = i.starting()
	x.gate.crashes.add(time.Now(), p.Target, i)
}

// recordAnswered records that the target of a placement answered the request completely.
func (x *Exchange) recordAnswered(p *Placement, sentAt time.Time) {
	if x.gate.Screen != nil {
		features := append(slices.Clip(x.features), poison.Service(p.Target.Service))
		x.gate.Screen.RecordAnswered(time.Now(), sentAt, x.Request.ID, features)
	}
}

// recordUnsent records that the request ended without being executed.
func (x *Exchange) recordUnsent() {
	if !x.maybeExecuted {
		x.recordHarmless()
	}
}

// recordHarmless records that no target can have ended under the request, so that equal requests need not wait for it.
func (x *Exchange) recordHarmless() {
	if x.gate.Screen != nil && len(x.features) > 0 {
		x.gate.Screen.RecordHarmless(time.Now(), x.Request.ID, x.features)
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
	x.features = append(x.features, poison.SameRequest(x.held.body.bytes, x.orgName(), x.Request.Method, x.Request.Host, x.Request.URI))
	return x.checkAgain(ctx)
}

// checkAgain checks the features before each attempt: one may have been blocked while the
// request waited.
func (x *Exchange) checkAgain(ctx context.Context) *Refusal {
	if x.gate.Screen == nil || x.trial {
		return nil
	}
	// A copy of another request may have to wait.
	ctx, cancel := context.WithDeadline(ctx, x.callerDeadline().Add(-responseMargin))
	defer cancel()
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
	case poison.Suspected:
		x.suspected = true
	}
	return nil
}
